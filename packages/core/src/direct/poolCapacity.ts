/** Estimates how many requests the upstreams of one pool can take, and how long requests take. */
import { isDeepStrictEqual } from 'node:util';

import { ServiceTimes } from '../limits/serviceTimes.js';

import type { DirectUpstream } from './directUpstream.js';
import type { FleetBoard } from './fleetBoard.js';
import type { InFlightLimit } from './inFlightLimit.js';
import { LatencyLimit } from './latencyLimit.js';
import { PassModelLimit } from './passModelLimit.js';
import { PassModel } from './passModel.js';
import { isInService } from './placement.js';
import type { DirectPool } from './routeTable.js';

/** Weight of the newest sample in the smoothed time to first output. */
const SMOOTHING_WEIGHT = 0.1;

/**
 * Assumed time to the first event of a stream, or to a plain response, in milliseconds, before the
 * first measurement.
 */
const INITIAL_FIRST_OUTPUT_MS = 80;

/**
 * Assumed interval between the ends of two requests, in milliseconds, before the first complete
 * response.
 */
const INITIAL_ADMISSION_INTERVAL_MS = 100;

/** Prefills that one entry may always run at the same time. */
const PREFILLS_MIN = 2;

/** Part of the engines' slots that late requests leave free; half of it had less effect. */
const RESERVED_FRACTION = 0.125;

/** Longest interval between two requests by which the returns of refused callers are spread. */
const PERMIT_INTERVAL_MAX_MS = 1_000;

const MS_PER_SECOND = 1_000;

export interface PoolCapacityOptions {
  readonly board: FleetBoard;
  /**
   * Limit of the requests per second that all entries together may start at one upstream; undefined
   * where there is none.
   */
  readonly getStartLimitPerS: (pool: DirectPool) => number | undefined;
  /**
   * Returns the prefills that the other entries run; undefined where they have not told it.
   */
  readonly countPeersPrefilling?: () => number | undefined;
  /** Called when the in-flight limit has changed, with the ratio that caused the change. */
  readonly onAdjust: (ratio: number) => void;
}

/** Capacity of one pool. */
export class PoolCapacity {
  readonly #options: PoolCapacityOptions;

  #pool: DirectPool;

  #limit: InFlightLimit | undefined;

  readonly #serviceTimes = new ServiceTimes();

  #firstOutputMs = INITIAL_FIRST_OUTPUT_MS;

  constructor(options: PoolCapacityOptions, pool: DirectPool) {
    this.#options = options;
    this.#pool = pool;
    this.#limit = this.#createLimit();
  }

  /** Applies the pool's settings from a newer configuration. */
  update(pool: DirectPool): void {
    const isSame = isDeepStrictEqual(pool.engine, this.#pool.engine);
    this.#pool = pool;
    if (!isSame) this.#limit = this.#createLimit();
  }

  /** Without configured costs, the limit is derived from the observed pauses alone. */
  #createLimit(): InFlightLimit | undefined {
    const { engine } = this.#pool;
    if (!engine?.costs) return engine && new LatencyLimit(engine.slots, this.#options.onAdjust);
    return new PassModelLimit(new PassModel(engine.costs), engine.slots, this.#options.onAdjust);
  }

  get #upstreams(): readonly DirectUpstream[] {
    return this.#options.board.listPool(this.#pool.name);
  }

  /** Limit of the requests in flight per upstream, on average. */
  get limitPerUpstream(): number {
    return this.#limit?.value ?? this.#plainLimit;
  }

  get #plainLimit(): number {
    return Math.max(1, ...this.#upstreams.map(({ entry }) => entry.slots));
  }

  /** This entry's share of the start rate limit of an upstream that may be cold. */
  get startsPerS(): number {
    const bound = this.#options.getStartLimitPerS(this.#pool);
    if (bound === undefined) return Number.POSITIVE_INFINITY;
    return Math.max(1, Math.floor(bound / this.#options.board.entryCount));
  }

  /**
   * Whether as many prefills are in progress as fit between the events of other streams. After a
   * restart all callers arrive at once, and with every prompt in prefill together a pass takes
   * twice as long.
   */
  get isPrefillFull(): boolean {
    return this.countFreePrefills() < 1;
  }

  /** Prefills that this entry runs. */
  countPrefilling(): number {
    return this.#upstreams.reduce((sum, each) => sum + each.awaitingFirstOutput, 0);
  }

  /**
   * Prefills that can be started now: by all entries where their prefills are known. Plain services
   * have none, so they do not limit their pools.
   */
  countFreePrefills(): number {
    if (!this.#pool.engine) return Number.POSITIVE_INFINITY;
    const peers = this.#options.countPeersPrefilling?.();
    if (peers === undefined) return this.#prefillShare - this.countPrefilling();
    return this.#prefillLimit - peers - this.countPrefilling();
  }

  /** Prefills that all entries may run at the same time. */
  get #prefillLimit(): number {
    const perEngine = this.#limit?.concurrentPrefills ?? 0;
    const minimum = PREFILLS_MIN * this.#options.board.entryCount;
    return Math.max(minimum, Math.ceil(this.#upstreams.length * perEngine));
  }

  /** Prefills that this entry may run at the same time. */
  get #prefillShare(): number {
    const perEngine = this.#limit?.concurrentPrefills ?? 0;
    const share = (this.#upstreams.length * perEngine) / this.#options.board.entryCount;
    return Math.max(PREFILLS_MIN, Math.ceil(share));
  }

  /**
   * Whether the remaining free slots are reserved for requests that can be on time, as a late
   * request occupies a slot for seconds.
   */
  isReservedForOnTime(nowMs: number): boolean {
    if (!this.#pool.engine) return false;
    return this.#countFreeSlots(nowMs) < Math.floor(this.#slotCount * RESERVED_FRACTION);
  }

  /**
   * Whether the free slots are reserved for the given number of requests, up to the part of the
   * slots that is reserved at most.
   */
  isReservedFor(requests: number, nowMs: number): boolean {
    if (requests === 0) return false;
    const reservedMax = Math.max(1, Math.floor(this.#slotCount * RESERVED_FRACTION));
    return this.#countFreeSlots(nowMs) < Math.min(requests, reservedMax) + 1;
  }

  get #slotCount(): number {
    return this.#upstreams.length * this.limitPerUpstream;
  }

  /**
   * Slots of the upstreams in service that no entry uses; negative where more are used than the
   * limit allows, as after a sudden loss of capacity.
   */
  countOfferedSlots(nowMs: number): number {
    const { board } = this.#options;
    const limit = this.#limit?.isPoolAverage
      ? this.limitPerUpstream
      : Math.ceil(this.limitPerUpstream);
    return this.#upstreams.reduce((sum, each) => {
      const isOffered = isInService(board, each) && !each.isBackingOff(nowMs);
      return isOffered ? sum + limit - board.countLoad(each, nowMs) : sum;
    }, 0);
  }

  /**
   * Mean time between two releases of slots by any entry, by Little's law; undefined before the
   * first complete response, and where request limits determine when a request is sent.
   */
  readReleaseIntervalMs(nowMs: number): number | undefined {
    const heldMs = this.#serviceTimes.meanMs;
    if (heldMs === 0 || this.#requestLimitPerS !== undefined) return undefined;
    return heldMs / Math.max(1, this.#countLoad(nowMs));
  }

  /** Mean time between two prefills that complete at any entry while all that may run do so. */
  get prefillIntervalMs(): number {
    return this.#firstOutputMs / this.#prefillLimit;
  }

  /** Estimates the time until as many prefills have completed that a request can be sent. */
  estimatePrefillWaitMs(ahead: number): number {
    return ((ahead + 1) * this.#firstOutputMs) / this.#prefillShare;
  }

  /** Slots that no entry uses. */
  #countFreeSlots(nowMs: number): number {
    return this.#slotCount - this.#countLoad(nowMs);
  }

  /** Free slots, without those that request limits leave empty. */
  #countUsableSlots(nowMs: number): number {
    const { limits } = this.#options.board;
    if (limits.limitedCount === 0) return this.#countFreeSlots(nowMs);
    const limit = this.limitPerUpstream;
    const heldMs = this.#serviceTimes.meanMs;
    // By Little's law, a limited upstream has as many requests in flight as it takes in their time.
    const usable = this.#upstreams.reduce((sum, { incarnation }) => {
      const perS = limits.find(incarnation);
      return sum + (perS === undefined ? limit : Math.min(limit, (perS * heldMs) / MS_PER_SECOND));
    }, 0);
    return usable - this.#countLoad(nowMs);
  }

  /** Requests in flight from all entries. */
  #countLoad(nowMs: number): number {
    const { board } = this.#options;
    return this.#upstreams.reduce((sum, each) => sum + board.countLoad(each, nowMs), 0);
  }

  /**
   * Whether the pool's total of requests in flight has reached the limit that keeps passes on time.
   */
  isFull(nowMs: number): boolean {
    return this.#limit?.isPoolAverage === true && this.#countFreeSlots(nowMs) < 1;
  }

  /** Smoothed time from sending a request to its first output. */
  get expectedFirstOutputMs(): number {
    return this.#firstOutputMs;
  }

  /**
   * Estimates an upper bound for the remaining time of a route's response, which holds in most
   * cases.
   *
   * @param streamedMs time for which the response has been streaming already
   */
  estimateRemainingMs(route: string, streamedMs: number): number {
    return Math.max(this.#firstOutputMs, this.#serviceTimes.readUpperBoundMs(route) - streamedMs);
  }

  /**
   * Interval between the ends of two requests of this entry, by Little's law. Measured directly, an
   * idle or stalled pool would be mistaken for a slow one.
   */
  get admissionIntervalMs(): number {
    const heldMs = this.#serviceTimes.meanMs;
    if (heldMs === 0) return Math.max(INITIAL_ADMISSION_INTERVAL_MS, this.#permitIntervalMs);
    const { inFlight } = this.#options.board.getActivity(this.#pool.name);
    return Math.max(heldMs / Math.max(1, inFlight), this.#permitIntervalMs);
  }

  /**
   * Interval at which this entry may send requests where all upstreams have request limits, with
   * equal parts for all entries; 0 otherwise.
   */
  get #permitIntervalMs(): number {
    const perS = this.#requestLimitPerS;
    if (perS === undefined) return 0;
    return Math.min(
      PERMIT_INTERVAL_MAX_MS,
      (MS_PER_SECOND * this.#options.board.entryCount) / perS,
    );
  }

  /** Requests per second that the pool takes; undefined where one in service has no limit. */
  get #requestLimitPerS(): number | undefined {
    const { board } = this.#options;
    if (board.limits.limitedCount === 0) return undefined;
    const inService = this.#upstreams.filter((each) => isInService(board, each));
    return board.permits.readTotalPerS(inService.map(({ incarnation }) => incarnation));
  }

  /**
   * Estimates the time until a request is admitted. While slots are free, as after a restart, the
   * prefill rate determines it.
   *
   * @param ahead number of requests that are queued before it
   */
  estimateWaitMs(ahead: number, nowMs: number): number {
    const freeSlotShare = this.#countUsableSlots(nowMs) / this.#options.board.entryCount;
    const isPrefillBound = this.#pool.engine !== undefined && ahead < freeSlotShare;
    const perS = this.#requestLimitPerS;
    if (perS === undefined) {
      if (isPrefillBound) return this.estimatePrefillWaitMs(ahead);
      return (ahead + 1) * this.admissionIntervalMs;
    }
    return this.#options.board.permits.estimateWaitMs(this.#pool.name, perS, ahead, nowMs);
  }

  /**
   * Estimates the time until a request is admitted that gets the next slot that any entry frees, by
   * Little's law; undefined before the first complete response.
   *
   * @param ahead number of requests of all entries that are admitted before it
   */
  estimateFleetWaitMs(ahead: number, nowMs: number): number | undefined {
    const heldMs = this.#serviceTimes.meanMs;
    if (heldMs === 0) return undefined;
    return ((ahead + 1) * heldMs) / Math.max(1, this.#countLoad(nowMs));
  }

  /** Records the time from sending a request to its first output. */
  noteFirstOutput(tookMs: number): void {
    this.#firstOutputMs += SMOOTHING_WEIGHT * (tookMs - this.#firstOutputMs);
  }

  /** Records a pause between two events of a stream. */
  notePause(pauseMs: number, targetMs: number, nowMs: number): void {
    if (!this.#limit) return;
    const decodingRequests = this.#countLoad(nowMs) / Math.max(1, this.#upstreams.length);
    this.#limit.notePause({ pauseMs, targetMs, decodingRequests }, nowMs);
  }

  /** Records how long a request of a route occupied its slot until its response was complete. */
  noteCompleted(route: string, heldMs: number): void {
    this.#serviceTimes.add(route, heldMs);
  }

  /** Records that a request found no free slot. */
  noteLimitReached(): void {
    this.#limit?.noteLimitReached();
  }
}
