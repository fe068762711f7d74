/** Remembers when ticks were sent on a link, so that an echo proves how recent it is. */
import { Deadline } from '../lease/deadline.js';

/** Ticks remembered; an echo of an older one proves nothing of use. */
const TICKS_KEPT = 16;

/** The last ticks sent on one link. */
export class SentTicks {
  readonly #leaseMs: number;

  readonly #leaseEnds = new Map<number, Deadline>();

  /** @param leaseMs length of the lease that an echo renews from the moment of sending */
  constructor(leaseMs: number) {
    this.#leaseMs = leaseMs;
  }

  /** Notes that a tick is being sent now. */
  record(tickMs: number): void {
    this.#leaseEnds.set(tickMs, Deadline.after(this.#leaseMs));
    if (this.#leaseEnds.size <= TICKS_KEPT) return;
    const [oldest] = this.#leaseEnds.keys();
    if (oldest !== undefined) this.#leaseEnds.delete(oldest);
  }

  /** @returns end of a lease from the sending of a tick; undefined where it is not known */
  findLeaseEnd(tickMs: number): Deadline | undefined {
    return this.#leaseEnds.get(tickMs);
  }
}
