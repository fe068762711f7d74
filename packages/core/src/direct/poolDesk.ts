/**
 * Admission to one pool: who is served now, who waits, and who is turned away.
 *
 * Answers the load pattern of more requests than can be served on time. A request waits only while
 * its answer can still be on time; otherwise it is refused at once, with a time at which there will
 * be room. A request that is late already goes after those that can still be on time.
 */
import { ServiceTimes } from '../limits/serviceTimes.js';
import type { Refusal } from '../model/reason.js';
import { LogLevel, type Log, type LogFields } from '../ports/log.js';
import type { Random } from '../ports/random.js';

import type { DirectUpstream } from './directUpstream.js';
import type { FleetBoard } from './fleetBoard.js';
import { LatencyLimit } from './latencyLimit.js';
import { choosePlacement, type PlacementResult } from './placement.js';
import type { PoolActivity } from './poolActivity.js';
import { PoolBreaker } from './poolBreaker.js';
import { PoolRefusals } from './poolRefusals.js';
import type { DirectPool } from './routeTable.js';
import { TurnQueue, type Ticket } from './turnQueue.js';

const LOG_PART = 'admission';

/** Weight of the newest sample in smoothed times. */
const SMOOTHING = 0.1;

/** Assumed time to the first event, or to a plain answer, before one was measured. */
const FIRST_MS = 80;

/** Assumed time between two ends of requests before a whole answer was seen. */
const TURN_MS = 100;

/** Prompts that one engine reads at a time, from all entries. */
const READING_PER_ENGINE = 3;

/** Prompts of one entry that are read at a time at least. */
const READING_MIN = 2;

/** Silence of a whole group that is more than a few slow passes. */
const SILENT_MS = 450;

/** Part of the engines' places that returned requests leave free; half of it did less in trials. */
const KEPT_PART = 0.125;

/** Time between two looks at requests that wait for a second's starts to pass. */
const PUMP_MS = 20;

export interface PoolDeskOptions {
  readonly board: FleetBoard;
  readonly random: Random;
  readonly log: Log;
  /** Requests that all entries may start at one upstream in a second; unbounded where undefined. */
  readonly readStartBound: (pool: DirectPool) => number | undefined;
}

/** Admission of one pool. */
export class PoolDesk {
  readonly breaker = new PoolBreaker();

  readonly #options: PoolDeskOptions;

  #pool: DirectPool;

  #limit: LatencyLimit | undefined;

  readonly #refusals: PoolRefusals;

  readonly #queue = new TurnQueue();

  #firstMs = FIRST_MS;

  readonly #times = new ServiceTimes();

  #pumpTimer: NodeJS.Timeout | undefined;

  constructor(options: PoolDeskOptions, pool: DirectPool) {
    this.#options = options;
    this.#pool = pool;
    this.#refusals = new PoolRefusals(pool.name, options.random);
    this.#limit = this.#createLimit();
  }

  /** Takes in what a newer configuration says of the pool. */
  update(pool: DirectPool): void {
    const isSame = pool.engine?.slots === this.#pool.engine?.slots;
    this.#pool = pool;
    if (!isSame) this.#limit = this.#createLimit();
  }

  #createLimit(): LatencyLimit | undefined {
    const { engine } = this.#pool;
    return engine && new LatencyLimit(engine.slots, (ratio) => this.#writeLimit(ratio));
  }

  #writeLimit(ratio: number): void {
    this.#write(LogLevel.Info, 'The limit has changed.', {
      limit: Math.round(this.limitPerUpstream * 10) / 10,
      pausesToTarget: Math.round(ratio * 100) / 100,
    });
  }

  get #activity(): PoolActivity {
    return this.#options.board.readActivity(this.#pool.name);
  }

  get waitingCount(): number {
    return this.#queue.size;
  }

  /** Requests in flight that one upstream may have. */
  get limitPerUpstream(): number {
    return this.#limit?.value ?? this.#plainLimit;
  }

  /** Smoothed time from sending a request to the first of its answer. */
  get expectedFirstMs(): number {
    return this.#firstMs;
  }

  /** Whether other requests are being answered, so that a silent upstream stands out. */
  isLive(nowMs: number, withinMs: number): boolean {
    return this.#activity.isLive(nowMs, withinMs);
  }

  /** Takes a request; it hears of its turn or its refusal, possibly at once. */
  enter(ticket: Ticket, nowMs: number): void {
    if (this.#isSilent(nowMs) || !this.breaker.mayPass(nowMs)) {
      ticket.onRefused(this.#refusals.stalled(ticket.returnLimitMs));
      return;
    }
    const ahead = this.#queue.countAhead(ticket);
    const { upstream, openCount } = this.#place(new Set(), nowMs, ticket.isReturned);
    if (ahead === 0 && upstream) ticket.onTurn(upstream);
    else if (openCount === 0) ticket.onRefused(this.#refusals.empty());
    else this.#wait(ticket, ahead, nowMs);
  }

  /** Takes a request out that its caller has given up. */
  leave(id: string): void {
    this.#queue.remove(id);
  }

  /** An upstream for one more attempt at a request, which does not wait. */
  choose(excluded: ReadonlySet<string>, nowMs: number): DirectUpstream | undefined {
    if (!this.breaker.mayPass(nowMs)) return undefined;
    return this.#place(excluded, nowMs).upstream;
  }

  /** A refusal that tells when there will be room. */
  refuseFull(returnLimitMs: number, nowMs: number): Refusal {
    if (this.breaker.isOpen) return this.#refusals.stalled(returnLimitMs);
    return this.#refusals.full(returnLimitMs, this.#turnMs, nowMs);
  }

  /** Notes that a request was sent to an upstream. */
  noteStart(nowMs: number): void {
    this.#activity.noteStart(nowMs);
  }

  /** Notes the first of an answer, after a time since the request was sent. */
  noteFirst(tookMs: number, nowMs: number): void {
    this.#firstMs += SMOOTHING * (tookMs - this.#firstMs);
    this.#noteService(nowMs);
    this.#pump();
  }

  /** Notes a pause between two events of a stream. */
  notePause(pauseMs: number, targetMs: number, nowMs: number): void {
    this.#limit?.notePause(pauseMs, targetMs, nowMs);
    this.#noteService(nowMs);
  }

  /** Notes that a request has ended and its place is free. */
  noteEnd(): void {
    this.#activity.noteEnd();
    this.#pump();
  }

  /** Notes for how long a request of a route held its place until its answer was whole. */
  noteAnswered(route: string, heldMs: number): void {
    this.#times.add(route, heldMs);
  }

  /** Notes that an upstream refused a request without running it. */
  noteRefusal(): void {
    if (!this.#pool.engine || !this.breaker.noteRefusal()) return;
    this.#write(LogLevel.Warn, 'A pool takes no work.');
  }

  /** Gives turns to those that wait, as far as there is room. */
  readonly #pump = (): void => {
    this.#pumpTimer = undefined;
    const nowMs = performance.now();
    for (let next = this.#queue.first; next; next = this.#queue.first) {
      const { upstream } = this.#place(new Set(), nowMs, next.isReturned);
      if (!upstream) break;
      this.#queue.remove(next.id);
      next.onTurn(upstream);
    }
    if (this.#queue.size > 0) this.#pumpTimer ??= setTimeout(this.#pump, PUMP_MS);
  };

  /**
   * Time between two ends of this entry's requests, by Little's law. Measured between ends, it
   * would take an idle pool, or one that has stalled, for a slow one.
   */
  get #turnMs(): number {
    const heldMs = this.#times.meanMs;
    return heldMs > 0 ? heldMs / Math.max(1, this.#activity.inFlight) : TURN_MS;
  }

  get #plainLimit(): number {
    const slots = this.#options.board.listPool(this.#pool.name).map(({ entry }) => entry.slots);
    return Math.max(1, ...slots);
  }

  #place(excluded: ReadonlySet<string>, nowMs: number, isReturned = false): PlacementResult {
    const { board, random } = this.#options;
    if (isReturned && this.#isKeptForFirst(nowMs)) return { upstream: undefined, openCount: 1 };
    if (this.#isReadingFull) return { upstream: undefined, openCount: 1 };
    const result = choosePlacement(board, {
      pool: this.#pool.name,
      excluded,
      limit: this.limitPerUpstream,
      startsPerS: this.#startsPerS,
      nowMs,
      draw: () => random.next(),
    });
    if (!result.upstream) this.#limit?.noteBinding();
    return result;
  }

  /**
   * Whether the last free places of the engines are kept for requests that can be on time: one that
   * has come back is late already, and takes its place for seconds.
   */
  #isKeptForFirst(nowMs: number): boolean {
    if (!this.#pool.engine) return false;
    const { board } = this.#options;
    const upstreams = board.listPool(this.#pool.name);
    const limit = this.limitPerUpstream;
    const load = upstreams.reduce((sum, upstream) => sum + board.countLoad(upstream, nowMs), 0);
    const places = upstreams.length * limit;
    return places - load < Math.floor(places * KEPT_PART);
  }

  /**
   * Whether as many prompts are read as the engines read between the events of other streams.
   * After a restart all callers come at once: with every prompt read together, a pass takes twice
   * as long.
   */
  get #isReadingFull(): boolean {
    if (!this.#pool.engine) return false;
    const { board } = this.#options;
    const upstreams = board.listPool(this.#pool.name);
    const unanswered = upstreams.reduce((sum, upstream) => sum + upstream.unanswered, 0);
    const share = (upstreams.length * READING_PER_ENGINE) / board.entryCount;
    return unanswered >= Math.max(READING_MIN, Math.ceil(share));
  }

  /** This entry's part of the starts that an upstream bears should it be cold. */
  get #startsPerS(): number {
    const bound = this.#options.readStartBound(this.#pool);
    if (bound === undefined) return Number.POSITIVE_INFINITY;
    return Math.max(1, Math.floor(bound / this.#options.board.entryCount));
  }

  /** Lets a request wait that can get its turn in time. */
  #wait(ticket: Ticket, ahead: number, nowMs: number): void {
    if ((ahead + 1) * this.#turnMs > ticket.waitBudgetMs) {
      ticket.onRefused(this.refuseFull(ticket.returnLimitMs, nowMs));
      return;
    }
    this.#write(LogLevel.Routine, 'Waits.', {
      id: ticket.id,
      ahead,
      turnMs: Math.round(this.#turnMs),
      budgetMs: Math.round(ticket.waitBudgetMs),
      limit: this.limitPerUpstream,
      isReturned: ticket.isReturned,
    });
    this.#queue.add(ticket, ({ returnLimitMs, onRefused }) =>
      onRefused(this.refuseFull(returnLimitMs, performance.now())),
    );
    this.#pumpTimer ??= setTimeout(this.#pump, PUMP_MS);
  }

  /** Whether a group whose events come at every pass has given none for some passes. */
  #isSilent(nowMs: number): boolean {
    return this.#pool.engine !== undefined && this.#activity.isSilent(nowMs, SILENT_MS);
  }

  #noteService(nowMs: number): void {
    this.#activity.noteService(nowMs);
    if (this.breaker.noteService()) this.#write(LogLevel.Info, 'A pool takes work again.');
  }

  #write(level: LogLevel, sentence: string, fields: LogFields = {}): void {
    const { log } = this.#options;
    log.write(level, LOG_PART, sentence, { pool: this.#pool.name, ...fields });
  }
}
