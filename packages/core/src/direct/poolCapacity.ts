/** Estimates how many requests the upstreams of one pool can take, and how long requests take. */
import { isDeepStrictEqual } from 'node:util';

import { ServiceTimes } from '../limits/serviceTimes.js';

import type { DirectUpstream } from './directUpstream.js';
import type { FleetBoard } from './fleetBoard.js';
import type { InFlightLimit } from './inFlightLimit.js';
import { LatencyLimit } from './latencyLimit.js';
import { PassModelLimit } from './passModelLimit.js';
import { PassModel } from './passModel.js';
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

export interface PoolCapacityOptions {
  readonly board: FleetBoard;
  /**
   * Limit of the requests per second that all entries together may start at one upstream; undefined
   * where there is none.
   */
  readonly getStartLimitPerS: (pool: DirectPool) => number | undefined;
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
    if (!this.#pool.engine) return false;
    return (
      this.#upstreams.reduce((sum, each) => sum + each.awaitingFirstOutput, 0) >= this.#prefillShare
    );
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

  get #slotCount(): number {
    return this.#upstreams.length * this.limitPerUpstream;
  }

  /** Slots that no entry uses. */
  #countFreeSlots(nowMs: number): number {
    return this.#slotCount - this.#countLoad(nowMs);
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
    if (heldMs === 0) return INITIAL_ADMISSION_INTERVAL_MS;
    return heldMs / Math.max(1, this.#options.board.getActivity(this.#pool.name).inFlight);
  }

  /**
   * Estimates the time until a request is admitted. While slots are free, as after a restart, the
   * prefill rate determines it.
   *
   * @param ahead number of requests that are queued before it
   */
  estimateWaitMs(ahead: number, nowMs: number): number {
    const freeSlotShare = this.#countFreeSlots(nowMs) / this.#options.board.entryCount;
    const isPrefillBound = this.#pool.engine !== undefined && ahead < freeSlotShare;
    const intervalMs = isPrefillBound
      ? this.#firstOutputMs / this.#prefillShare
      : this.admissionIntervalMs;
    return (ahead + 1) * intervalMs;
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
