/**
 * Admission by one queue for each pool.
 *
 * A request that finds a free place is let in whatever the measured rates say: that is how they are
 * measured anew after they were bad. One that has to wait is refused at once where its turn and its
 * service would come too late.
 */
import { refuseNotRun } from '../entry/refusal.js';
import { RefusalReason, type Refusal } from '../model/reason.js';
import { Err, type Result } from '../outcome.js';

import { AdmissionPolicy, type AdmissionPermit, type AdmissionTicket } from './admissionPolicy.js';
import { PoolQueue } from './poolQueue.js';

/** Shortest time after which a refused request is asked to come back. */
const RETRY_AFTER_MIN_MS = 100;

const LEFT = refuseNotRun(RefusalReason.CallerGone, 0, 'the request left before its turn');

/** Lets requests in as their pools have room. */
export class QueueAdmission extends AdmissionPolicy {
  readonly #pools = new Map<string, PoolQueue>();

  enter(ticket: AdmissionTicket): Promise<Result<AdmissionPermit, Refusal>> {
    const pool = this.#openPool(ticket.pool);
    const waitMs = pool.estimateWaitMs(ticket);
    const endsAtMs = Date.now() + waitMs + pool.readServiceMs(ticket.className);
    const retryAfterMs = Math.max(RETRY_AFTER_MIN_MS, Math.ceil(waitMs));
    const detail = 'by the measured rates the deadline cannot be met';
    const late = refuseNotRun(RefusalReason.DeadlineUnreachable, retryAfterMs, detail);
    if (waitMs > 0 && endsAtMs > ticket.deadlineAtMs) return Promise.resolve(Err(late));

    const full = refuseNotRun(RefusalReason.QueueFull, retryAfterMs, 'the queue is full');
    if (pool.size >= ticket.queueLimit && !pool.makePlace(ticket, full)) {
      return Promise.resolve(Err(full));
    }
    return pool.wait(ticket, LEFT, late);
  }

  setRoom(pool: string, room: number): void {
    this.#openPool(pool).setRoom(room);
  }

  countWaiting(pool: string): number {
    return this.#pools.get(pool)?.size ?? 0;
  }

  countInFlight(pool: string): number {
    return this.#pools.get(pool)?.inFlight ?? 0;
  }

  observeService(pool: string, className: string, serviceMs: number): void {
    this.#openPool(pool).observeService(className, serviceMs);
  }

  #openPool(name: string): PoolQueue {
    const known = this.#pools.get(name);
    if (known) return known;
    const pool = new PoolQueue();
    this.#pools.set(name, pool);
    return pool;
  }
}
