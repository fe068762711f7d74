/**
 * Decides which request of one pool gets a free slot, where the pool's requests differ in urgency.
 *
 * Answers bursts in which several entries share the slots of a pool: a free slot goes to the most
 * urgent request that waits at any entry. Each entry decides for its own requests from what its
 * peers have told; there is no coordinator.
 */
import type { FleetBoard } from '../fleetBoard.js';

import type { FleetDemand } from './fleetDemand.js';
import { MinimumShare } from './minimumShare.js';
import { NO_COUNTS, readUrgencyRank, type RankedRequest } from './urgencyRank.js';

/** Priority of requests that are put first as their own priority is starved. */
const FIRST_PRIORITY = 0;

/**
 * Interval, in milliseconds, at which an entry takes part in the draw for slots that it has not
 * released itself: as often as peers tell their counts.
 */
const DRAW_INTERVAL_MS = 20;

/**
 * Part of the pool's releases that more urgent arrivals can take at most in an estimate; beyond it,
 * the estimate would depend on noise.
 */
const TAKEN_ABOVE_MAX = 0.95;

const MS_PER_SECOND = 1_000;

/** Something of which each request needs one to be sent, such as a slot. */
export interface Resource {
  /** How many are free; negative where more are used than allowed. */
  readonly free: number;
  /** Mean time between two releases by any entry. */
  readonly intervalMs: number;
}

/** A free slot, as seen by an entry that considers taking it. */
export interface SlotOffer {
  /** Slots of the pool that no entry uses. */
  readonly freeSlots: number;
  /** Requests of this entry that wait with the same rank, including the one that asks. */
  readonly ownEqual: number;
  /** Whether the one that asks has waited already. */
  readonly isQueued: boolean;
  /** Whether this entry has just released a slot. */
  readonly isOwnRelease: boolean;
}

export interface PoolUrgencyOptions {
  readonly board: FleetBoard;
  readonly pool: string;
  /** Returns this entry's requests in flight that have had no output yet. */
  readonly countPrefilling: () => number;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  readonly draw: () => number;
}

/** Urgency of the requests of one pool. */
export class PoolUrgency {
  readonly #options: PoolUrgencyOptions;

  readonly #minimumShare = new MinimumShare();

  #drawnAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: PoolUrgencyOptions) {
    this.#options = options;
    this.#demand.addPool(options.pool, options.countPrefilling);
  }

  get #demand(): FleetDemand {
    return this.#options.board.demand;
  }

  /** Whether all connected peers have told their demand. */
  get isKnown(): boolean {
    return this.#demand.isKnown(this.#options.pool, this.#options.board.livePeers);
  }

  /** Prefills that the peers run; undefined where one has not told it. */
  countPeersPrefilling(nowMs: number): number | undefined {
    if (!this.isKnown) return undefined;
    return this.#demand.countPeersPrefilling(this.#options.pool, nowMs);
  }

  /** Records that a prefill of this entry has completed. */
  notePrefilled(): void {
    this.#demand.notePrefilled();
  }

  /** Stops to tell the demand for the pool. */
  close(): void {
    this.#demand.removePool(this.#options.pool);
  }

  /**
   * Records a request that asks for admission.
   *
   * @returns the priority with which it is admitted
   */
  noteArrival(request: RankedRequest, nowMs: number): number {
    if (request.isLate) return request.priority;
    this.#demand.noteArrival(this.#options.pool, readUrgencyRank(request), nowMs);
    return this.#minimumShare.noteArrival(request.priority) ? FIRST_PRIORITY : request.priority;
  }

  /** Records that a first attempt of the given original priority has been given a slot. */
  noteAdmitted(priority: number): void {
    this.#minimumShare.noteAdmitted(priority);
  }

  /** Records the requests of this entry that wait and can use a slot. */
  setWaiting(waiting: readonly RankedRequest[]): void {
    const counts = [...NO_COUNTS];
    waiting.forEach((request) => {
      const rank = readUrgencyRank(request);
      counts[rank] = (counts[rank] ?? 0) + 1;
    });
    this.#demand.setWaiting(this.#options.pool, counts);
  }

  /**
   * Whether a request may take a free slot. Slots are left to more urgent requests that wait
   * elsewhere. Among equally urgent ones, an entry keeps the slots that it releases; the others are
   * drawn in proportion to what waits, and requests that have just arrived take none of them.
   */
  mayTake(request: RankedRequest, offer: SlotOffer, nowMs: number): boolean {
    const { pool, draw } = this.#options;
    const rank = readUrgencyRank(request);
    const leftSlots = offer.freeSlots - this.#demand.countWaitingAbove(pool, rank, nowMs);
    if (leftSlots < 1) return false;
    const equalElsewhere = this.#demand.countWaitingEqual(pool, rank, nowMs);
    if (leftSlots >= equalElsewhere + 1) return true;
    if (!offer.isQueued) return false;
    if (offer.isOwnRelease) return true;
    if (nowMs - this.#drawnAtMs < DRAW_INTERVAL_MS) return false;
    this.#drawnAtMs = nowMs;
    return draw() * (equalElsewhere + offer.ownEqual) < leftSlots * offer.ownEqual;
  }

  /**
   * Estimates the time until a request is admitted from what waits and arrives at all entries;
   * undefined where a peer has not told it.
   *
   * @param ownAhead requests of this entry that are admitted before it
   * @param resources what it needs one of each
   */
  estimateWaitMs(
    request: RankedRequest,
    ownAhead: number,
    resources: readonly Resource[],
    nowMs: number,
  ): number | undefined {
    const { pool } = this.#options;
    if (!this.isKnown) return undefined;
    const rank = readUrgencyRank(request);
    const ahead =
      ownAhead +
      this.#demand.countWaitingAbove(pool, rank, nowMs) +
      this.#demand.countWaitingEqual(pool, rank, nowMs);
    const arrivingPerS = this.#demand.readArrivingAbovePerS(pool, rank, nowMs);
    const waitsMs = resources.map(({ free, intervalMs }) => {
      const takenAbove = Math.min(TAKEN_ABOVE_MAX, (arrivingPerS * intervalMs) / MS_PER_SECOND);
      return (Math.max(0, ahead + 1 - free) * intervalMs) / (1 - takenAbove);
    });
    return Math.max(...waitsMs);
  }
}
