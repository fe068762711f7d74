/** Records when ticks were sent on a link, so that an echoed tick shows how recent a reply is. */
import { Deadline } from '../lease/deadline.js';

/** Number of ticks kept; an echo of an older one is too old to renew a lease. */
const TICKS_KEPT = 16;

/** The latest ticks sent on one link, each with the end of the lease that its echo renews. */
export class SentTicks {
  readonly #leaseMs: number;

  readonly #leaseEnds = new Map<number, Deadline>();

  /** @param leaseMs duration of the lease, counted from the time at which the tick was sent */
  constructor(leaseMs: number) {
    this.#leaseMs = leaseMs;
  }

  /** Records that a tick is being sent now. */
  record(tickMs: number): void {
    this.#leaseEnds.set(tickMs, Deadline.after(this.#leaseMs));
    if (this.#leaseEnds.size <= TICKS_KEPT) return;
    const [oldest] = this.#leaseEnds.keys();
    if (oldest !== undefined) this.#leaseEnds.delete(oldest);
  }

  /** @returns end of the lease that an echo of the tick renews; undefined for an unknown tick */
  findLeaseEnd(tickMs: number): Deadline | undefined {
    return this.#leaseEnds.get(tickMs);
  }
}
