/**
 * Admission by one queue for each pool.
 *
 * A request that finds a free place is let in whatever the measured rates say: that is how they are
 * measured anew after they were bad. One that has to wait is refused at once where its turn and its
 * service would come too late.
 */
import type { Refusal } from '../model/reason.js';
import type { Result } from '../outcome.js';

import { AdmissionPolicy, type AdmissionPermit, type AdmissionTicket } from './admissionPolicy.js';
import { PoolQueue } from './poolQueue.js';

/** Lets requests in as their pools have room. */
export class QueueAdmission extends AdmissionPolicy {
  readonly #pools = new Map<string, PoolQueue>();

  enter(ticket: AdmissionTicket): Promise<Result<AdmissionPermit, Refusal>> {
    return this.#openPool(ticket.pool).enter(ticket);
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
