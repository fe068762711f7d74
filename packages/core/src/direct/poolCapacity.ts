/** How much work the upstreams of one pool can take, and how long it takes, as an entry sees it. */
import { isDeepStrictEqual } from 'node:util';

import { ServiceTimes } from '../limits/serviceTimes.js';

import type { DirectUpstream } from './directUpstream.js';
import type { FleetBoard } from './fleetBoard.js';
import type { InFlightLimit } from './inFlightLimit.js';
import { LatencyLimit } from './latencyLimit.js';
import { PassModelLimit } from './passModelLimit.js';
import { PassModel } from './passModel.js';
import type { DirectPool } from './routeTable.js';

/** Weight of the newest sample in the smoothed time to the first of an answer. */
const SMOOTHING_WEIGHT = 0.1;

/** Assumed time to the first event, or to a plain answer, before one was measured. */
const INITIAL_FIRST_OUTPUT_MS = 80;

/** Assumed time between two ends of requests before a whole answer was seen. */
const INITIAL_ADMISSION_INTERVAL_MS = 100;

/** Prompts of one entry that are read at a time at least. */
const PREFILLS_MIN = 2;

/** Part of the engines' places that late requests leave free; half of it did less in trials. */
const RESERVED_FRACTION = 0.125;

export interface PoolCapacityOptions {
  readonly board: FleetBoard;
  /** Requests that all entries may start at one upstream in a second; unbounded where undefined. */
  readonly getStartLimitPerS: (pool: DirectPool) => number | undefined;
  /** Hears the ratio of pauses to their target for which the limit in flight has changed. */
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

  /** Takes in what a newer configuration says of the pool. */
  update(pool: DirectPool): void {
    const isSame = isDeepStrictEqual(pool.engine, this.#pool.engine);
    this.#pool = pool;
    if (!isSame) this.#limit = this.#createLimit();
  }

  /** Engines that do not tell their costs are limited by the pauses alone. */
  #createLimit(): InFlightLimit | undefined {
    const { engine } = this.#pool;
    if (!engine?.costs) return engine && new LatencyLimit(engine.slots, this.#options.onAdjust);
    return new PassModelLimit(new PassModel(engine.costs), engine.slots, this.#options.onAdjust);
  }

  get #upstreams(): readonly DirectUpstream[] {
    return this.#options.board.listPool(this.#pool.name);
  }

  /** Requests in flight that one upstream may have, on average. */
  get limitPerUpstream(): number {
    return this.#limit?.value ?? this.#plainLimit;
  }

  get #plainLimit(): number {
    return Math.max(1, ...this.#upstreams.map(({ entry }) => entry.slots));
  }

  /** This entry's part of the starts that an upstream bears should it be cold. */
  get startsPerS(): number {
    const bound = this.#options.getStartLimitPerS(this.#pool);
    if (bound === undefined) return Number.POSITIVE_INFINITY;
    return Math.max(1, Math.floor(bound / this.#options.board.entryCount));
  }

  /**
   * Whether as many prompts are read as the engines read between the events of other streams.
   * After a restart all callers come at once: with every prompt read together, a pass takes twice
   * as long.
   */
  get isPrefillFull(): boolean {
    if (!this.#pool.engine) return false;
    return (
      this.#upstreams.reduce((sum, each) => sum + each.awaitingFirstOutput, 0) >= this.#prefillShare
    );
  }

  /** Prompts of this entry that are read at a time. */
  get #prefillShare(): number {
    const perEngine = this.#limit?.concurrentPrefills ?? 0;
    const share = (this.#upstreams.length * perEngine) / this.#options.board.entryCount;
    return Math.max(PREFILLS_MIN, Math.ceil(share));
  }

  /**
   * Whether the last free places of the engines are kept for requests that can be on time: one that
   * is late takes its place for seconds.
   */
  isReservedForOnTime(nowMs: number): boolean {
    if (!this.#pool.engine) return false;
    return this.#countFreeSlots(nowMs) < Math.floor(this.#slotCount * RESERVED_FRACTION);
  }

  get #slotCount(): number {
    return this.#upstreams.length * this.limitPerUpstream;
  }

  /** Places that no entry uses. */
  #countFreeSlots(nowMs: number): number {
    return this.#slotCount - this.#countLoad(nowMs);
  }

  /** Requests in flight from all entries. */
  #countLoad(nowMs: number): number {
    const { board } = this.#options;
    return this.#upstreams.reduce((sum, each) => sum + board.countLoad(each, nowMs), 0);
  }

  /** Whether engines have as many requests in all as keep their passes in time. */
  isFull(nowMs: number): boolean {
    return this.#limit?.isPoolAverage === true && this.#countFreeSlots(nowMs) < 1;
  }

  /** Smoothed time from sending a request to the first of its answer. */
  get expectedFirstOutputMs(): number {
    return this.#firstOutputMs;
  }

  /**
   * Time that the rest of a route's answer takes at most, in most cases.
   *
   * @param streamedMs time for which the answer has come already
   */
  estimateRemainingMs(route: string, streamedMs: number): number {
    return Math.max(this.#firstOutputMs, this.#serviceTimes.readLong(route) - streamedMs);
  }

  /**
   * Time between two ends of this entry's requests, by Little's law. Measured between ends, it
   * would take an idle pool, or one that has stalled, for a slow one.
   */
  get admissionIntervalMs(): number {
    const heldMs = this.#serviceTimes.meanMs;
    if (heldMs === 0) return INITIAL_ADMISSION_INTERVAL_MS;
    return heldMs / Math.max(1, this.#options.board.readActivity(this.#pool.name).inFlight);
  }

  /**
   * Time until the turn of a request comes. As long as places are free, as after a restart, turns
   * come as fast as prompts are read.
   *
   * @param ahead requests that wait before it
   */
  estimateWaitMs(ahead: number, nowMs: number): number {
    const freeSlots = this.#countFreeSlots(nowMs) / this.#options.board.entryCount;
    const isPrefillBound = this.#pool.engine !== undefined && ahead < freeSlots;
    const intervalMs = isPrefillBound
      ? this.#firstOutputMs / this.#prefillShare
      : this.admissionIntervalMs;
    return (ahead + 1) * intervalMs;
  }

  /** Notes the first of an answer, after a time since the request was sent. */
  noteFirstOutput(tookMs: number): void {
    this.#firstOutputMs += SMOOTHING_WEIGHT * (tookMs - this.#firstOutputMs);
  }

  /** Notes a pause between two events of a stream. */
  notePause(pauseMs: number, targetMs: number, nowMs: number): void {
    if (!this.#limit) return;
    const decodingRequests = this.#countLoad(nowMs) / Math.max(1, this.#upstreams.length);
    this.#limit.notePause({ pauseMs, targetMs, decodingRequests }, nowMs);
  }

  /** Notes for how long a request of a route held its place until its answer was whole. */
  noteCompleted(route: string, heldMs: number): void {
    this.#serviceTimes.add(route, heldMs);
  }

  /** Notes that a request found no place. */
  noteLimitReached(): void {
    this.#limit?.noteLimitReached();
  }
}
