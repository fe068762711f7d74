/**
 * Admission control with one queue per pool.
 *
 * A request that finds a free slot is admitted whatever the measured service times are; otherwise
 * long times would never be measured again. A request that has to wait is refused at once if its
 * wait and its service time would exceed its deadline.
 */
import type { Refusal } from '../model/reason.js';
import type { Result } from '../outcome.js';

import { AdmissionPolicy, type AdmissionPermit, type AdmissionTicket } from './admissionPolicy.js';
import { PoolQueue } from './poolQueue.js';

/** Admits requests while their pools are below the in-flight limit. */
export class QueueAdmission extends AdmissionPolicy {
  readonly #pools = new Map<string, PoolQueue>();

  enter(ticket: AdmissionTicket): Promise<Result<AdmissionPermit, Refusal>> {
    return this.#getOrCreatePool(ticket.pool).enter(ticket);
  }

  setInFlightLimit(pool: string, limit: number): void {
    this.#getOrCreatePool(pool).setInFlightLimit(limit);
  }

  countWaiting(pool: string): number {
    return this.#pools.get(pool)?.size ?? 0;
  }

  countInFlight(pool: string): number {
    return this.#pools.get(pool)?.inFlight ?? 0;
  }

  observeService(pool: string, className: string, serviceMs: number): void {
    this.#getOrCreatePool(pool).observeService(className, serviceMs);
  }

  #getOrCreatePool(name: string): PoolQueue {
    const known = this.#pools.get(name);
    if (known) return known;
    const pool = new PoolQueue();
    this.#pools.set(name, pool);
    return pool;
  }
}
