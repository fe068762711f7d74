/**
 * Admission by one p-queue for each pool.
 *
 * The room of a pool is the queue's concurrency; a request holds its place until it has ended. How
 * long a request would wait is worked out from the measured service time and the room.
 */
import PQueue from 'p-queue';

import { refuseNotRun } from '../entry/refusal.js';
import { RefusalReason, type Refusal } from '../model/reason.js';
import { Err, Ok, type Result } from '../outcome.js';

import { AdmissionPolicy, type AdmissionPermit, type AdmissionTicket } from './admissionPolicy.js';
import { FairQueue, type FairQueueOptions } from './fairQueue.js';

/** Weight of the newest service time in the smoothed one. */
const SMOOTHING = 0.1;

/** Shortest time after which a refused request is asked to come back. */
const RETRY_AFTER_MIN_MS = 100;

interface PoolQueue {
  readonly queue: PQueue<FairQueue, FairQueueOptions>;
  room: number;
  /** Smoothed time for which a permit is held; 0 before the first. */
  serviceMs: number;
}

/** Time until the turn of a request that would wait behind all others. */
function estimateWaitMs(pool: PoolQueue): number {
  const freePlaces = pool.room - pool.queue.pending;
  const ahead = pool.queue.size - freePlaces + 1;
  return ahead <= 0 ? 0 : (ahead * pool.serviceMs) / Math.max(1, pool.room);
}
function findRefusal(ticket: AdmissionTicket, pool: PoolQueue): Refusal | undefined {
  const waitMs = estimateWaitMs(pool);
  const retryAfterMs = Math.max(RETRY_AFTER_MIN_MS, Math.ceil(waitMs));
  if (pool.queue.size >= ticket.queueLimit) {
    return refuseNotRun(RefusalReason.QueueFull, retryAfterMs, 'the queue of the pool is full');
  }
  if (Date.now() + waitMs + pool.serviceMs > ticket.deadlineAtMs) {
    const detail = 'by the measured rates the deadline cannot be met';
    return refuseNotRun(RefusalReason.DeadlineUnreachable, retryAfterMs, detail);
  }
  return undefined;
}

/** Lets requests in as their pools have room. */
export class QueueAdmission extends AdmissionPolicy {
  readonly #pools = new Map<string, PoolQueue>();

  enter(ticket: AdmissionTicket): Promise<Result<AdmissionPermit, Refusal>> {
    const pool = this.#openPool(ticket.pool);
    const refusal = findRefusal(ticket, pool);
    if (refusal) return Promise.resolve(Err(refusal));
    return new Promise((resolve) => {
      const hold = () =>
        new Promise<void>((release) => {
          resolve(Ok({ release }));
        });
      const { workspace, weight, priority, signal } = ticket;
      pool.queue.add(hold, { workspace, weight, priority, signal }).catch(() => {
        const detail = 'the request left before its turn';
        resolve(Err(refuseNotRun(RefusalReason.CallerGone, 0, detail)));
      });
    });
  }

  setRoom(poolName: string, room: number): void {
    const pool = this.#openPool(poolName);
    if (pool.room === room) return;
    pool.room = room;
    if (room < 1) {
      pool.queue.pause();
      return;
    }
    pool.queue.concurrency = room;
    pool.queue.start();
  }

  countWaiting(pool: string): number {
    return this.#pools.get(pool)?.queue.size ?? 0;
  }

  observeService(poolName: string, serviceMs: number): void {
    const pool = this.#openPool(poolName);
    if (pool.serviceMs === 0) pool.serviceMs = serviceMs;
    pool.serviceMs += SMOOTHING * (serviceMs - pool.serviceMs);
  }

  #openPool(name: string): PoolQueue {
    const known = this.#pools.get(name);
    if (known) return known;
    const queue = new PQueue<FairQueue, FairQueueOptions>({
      queueClass: FairQueue,
      autoStart: false,
    });
    const pool = { queue, room: 0, serviceMs: 0 };
    this.#pools.set(name, pool);
    return pool;
  }
}
