/** How much work the upstreams of one pool can take, and how long it takes, as an entry sees it. */
import { isDeepStrictEqual } from 'node:util';

import { ServiceTimes } from '../limits/serviceTimes.js';

import type { DirectUpstream } from './directUpstream.js';
import type { FleetBoard } from './fleetBoard.js';
import type { EngineLimit } from './engineLimit.js';
import { LatencyLimit } from './latencyLimit.js';
import { PassLimit } from './passLimit.js';
import { PassModel } from './passModel.js';
import type { DirectPool } from './routeTable.js';

/** Weight of the newest sample in the smoothed time to the first of an answer. */
const SMOOTHING = 0.1;

/** Assumed time to the first event, or to a plain answer, before one was measured. */
const FIRST_MS = 80;

/** Assumed time between two ends of requests before a whole answer was seen. */
const TURN_MS = 100;

/** Prompts of one entry that are read at a time at least. */
const READING_MIN = 2;

/** Part of the engines' places that late requests leave free; half of it did less in trials. */
const KEPT_PART = 0.125;

export interface PoolCapacityOptions {
  readonly board: FleetBoard;
  /** Requests that all entries may start at one upstream in a second; unbounded where undefined. */
  readonly readStartBound: (pool: DirectPool) => number | undefined;
  /** Hears the ratio of pauses to their target for which the limit in flight has changed. */
  readonly onLimit: (ratio: number) => void;
}

/** Capacity of one pool. */
export class PoolCapacity {
  readonly #options: PoolCapacityOptions;

  #pool: DirectPool;

  #limit: EngineLimit | undefined;

  readonly #times = new ServiceTimes();

  #firstMs = FIRST_MS;

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
  #createLimit(): EngineLimit | undefined {
    const { engine } = this.#pool;
    if (!engine?.costs) return engine && new LatencyLimit(engine.slots, this.#options.onLimit);
    return new PassLimit(new PassModel(engine.costs), engine.slots, this.#options.onLimit);
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
    const bound = this.#options.readStartBound(this.#pool);
    if (bound === undefined) return Number.POSITIVE_INFINITY;
    return Math.max(1, Math.floor(bound / this.#options.board.entryCount));
  }

  /**
   * Whether as many prompts are read as the engines read between the events of other streams.
   * After a restart all callers come at once: with every prompt read together, a pass takes twice
   * as long.
   */
  get isReadingFull(): boolean {
    if (!this.#pool.engine) return false;
    return this.#upstreams.reduce((sum, each) => sum + each.unanswered, 0) >= this.#readingShare;
  }

  /** Prompts of this entry that are read at a time. */
  get #readingShare(): number {
    const perEngine = this.#limit?.promptsReading ?? 0;
    const share = (this.#upstreams.length * perEngine) / this.#options.board.entryCount;
    return Math.max(READING_MIN, Math.ceil(share));
  }

  /**
   * Whether the last free places of the engines are kept for requests that can be on time: one that
   * is late takes its place for seconds.
   */
  isKeptForFirst(nowMs: number): boolean {
    if (!this.#pool.engine) return false;
    return this.#countFree(nowMs) < Math.floor(this.#placeCount * KEPT_PART);
  }

  get #placeCount(): number {
    return this.#upstreams.length * this.limitPerUpstream;
  }

  /** Places that no entry uses. */
  #countFree(nowMs: number): number {
    return this.#placeCount - this.#countLoad(nowMs);
  }

  /** Requests in flight from all entries. */
  #countLoad(nowMs: number): number {
    const { board } = this.#options;
    return this.#upstreams.reduce((sum, each) => sum + board.countLoad(each, nowMs), 0);
  }

  /** Whether engines have as many requests in all as keep their passes in time. */
  isFull(nowMs: number): boolean {
    return this.#limit?.isAverage === true && this.#countFree(nowMs) < 1;
  }

  /** Smoothed time from sending a request to the first of its answer. */
  get expectedFirstMs(): number {
    return this.#firstMs;
  }

  /**
   * Time that the rest of a route's answer takes at most, in most cases.
   *
   * @param servedMs time for which the answer has come already
   */
  expectRestMs(route: string, servedMs: number): number {
    return Math.max(this.#firstMs, this.#times.readLong(route) - servedMs);
  }

  /**
   * Time between two ends of this entry's requests, by Little's law. Measured between ends, it
   * would take an idle pool, or one that has stalled, for a slow one.
   */
  get turnMs(): number {
    const heldMs = this.#times.meanMs;
    if (heldMs === 0) return TURN_MS;
    return heldMs / Math.max(1, this.#options.board.readActivity(this.#pool.name).inFlight);
  }

  /**
   * Time until the turn of a request comes. As long as places are free, as after a restart, turns
   * come as fast as prompts are read.
   *
   * @param ahead requests that wait before it
   */
  expectWaitMs(ahead: number, nowMs: number): number {
    const freeShare = this.#countFree(nowMs) / this.#options.board.entryCount;
    const isReadingBound = this.#pool.engine !== undefined && ahead < freeShare;
    const turnMs = isReadingBound ? this.#firstMs / this.#readingShare : this.turnMs;
    return (ahead + 1) * turnMs;
  }

  /** Notes the first of an answer, after a time since the request was sent. */
  noteFirst(tookMs: number): void {
    this.#firstMs += SMOOTHING * (tookMs - this.#firstMs);
  }

  /** Notes a pause between two events of a stream. */
  notePause(pauseMs: number, targetMs: number, nowMs: number): void {
    if (!this.#limit) return;
    const writers = this.#countLoad(nowMs) / Math.max(1, this.#upstreams.length);
    this.#limit.notePause({ pauseMs, targetMs, writers }, nowMs);
  }

  /** Notes for how long a request of a route held its place until its answer was whole. */
  noteAnswered(route: string, heldMs: number): void {
    this.#times.add(route, heldMs);
  }

  /** Notes that a request found no place. */
  noteBinding(): void {
    this.#limit?.noteBinding();
  }
}
