/**
 * Admission to one pool: who is served now, who waits, and who is turned away.
 *
 * Answers the load pattern of more requests than can be served on time. A request that comes for
 * the first time waits only while its answer can still be on time; otherwise it is refused at once,
 * with a time at which there will be room. One that is late already goes after those, and waits as
 * long as it can be answered at all.
 */
import type { Refusal } from '../model/reason.js';
import { LogLevel, type Log, type LogFields } from '../ports/log.js';
import type { Random } from '../ports/random.js';

import type { DirectUpstream } from './directUpstream.js';
import type { FleetBoard } from './fleetBoard.js';
import { choosePlacement, readRestMs, type PlacementResult } from './placement.js';
import type { PoolActivity } from './poolActivity.js';
import type { BreakerNews, PoolBreaker } from './poolBreaker.js';
import { PoolCapacity } from './poolCapacity.js';
import { PoolRefusals } from './poolRefusals.js';
import type { DirectPool } from './routeTable.js';
import { TurnDenial, TurnQueue, type Ticket } from './turnQueue.js';

const LOG_PART = 'admission';

/** Silence of a whole group that is more than a few slow passes. */
const SILENT_MS = 450;

/** Requests in flight without any event from which silence is the pool's. */
const SILENT_REQUESTS = 4;

/** Time between two looks at requests that wait for a second's starts to pass. */
const PUMP_MS = 20;

/**
 * Time without a new request after which one that waits asks a stalled pool: a new one that is
 * declined can come back, while each refusal costs a waiting one of its attempts.
 */
const WAITER_PROBE_MS = 600;

export interface PoolDeskOptions {
  readonly board: FleetBoard;
  readonly random: Random;
  readonly log: Log;
  /** Requests that all entries may start at one upstream in a second; unbounded where undefined. */
  readonly readStartBound: (pool: DirectPool) => number | undefined;
}

/** Admission of one pool. */
export class PoolDesk {
  readonly #breaker: PoolBreaker;

  readonly capacity: PoolCapacity;

  readonly #options: PoolDeskOptions;

  #pool: DirectPool;

  readonly #refusals: PoolRefusals;

  readonly #queue = new TurnQueue();

  readonly #stopListening: () => void;

  #pumpTimer: NodeJS.Timeout | undefined;

  constructor(options: PoolDeskOptions, pool: DirectPool) {
    this.#options = options;
    this.#pool = pool;
    this.#refusals = new PoolRefusals(pool.name, options.random);
    const onLimit = (ratio: number): void => this.#writeLimit(ratio);
    this.capacity = new PoolCapacity({ ...options, onLimit }, pool);
    this.#breaker = options.board.readBreaker(pool.name);
    this.#stopListening = this.#breaker.onChange((news) => this.#readBreaker(news));
  }

  /** Ends with its pool. */
  close(): void {
    this.#stopListening();
  }

  /** Takes in what a newer configuration says of the pool. */
  update(pool: DirectPool): void {
    this.#pool = pool;
    this.capacity.update(pool);
  }

  /** @param ratio of pauses to their target, or to what the model says of them */
  #writeLimit(ratio: number): void {
    this.#write(LogLevel.Info, 'The limit has changed.', {
      limit: Math.round(this.capacity.limitPerUpstream * 10) / 10,
      pausesRatio: Math.round(ratio * 100) / 100,
    });
  }

  #readBreaker(news: BreakerNews): void {
    if (this.#breaker.isOpen) this.#write(LogLevel.Warn, 'A pool takes no work.');
    else {
      this.#write(LogLevel.Info, 'A pool takes work again.', { news });
      this.#pump();
    }
  }

  get #activity(): PoolActivity {
    return this.#options.board.readActivity(this.#pool.name);
  }

  get waitingCount(): number {
    return this.#queue.size;
  }

  /** Pauses of the pool's streams of late; undefined where there were none. */
  get usualPauseMs(): number | undefined {
    return this.#activity.usualPauseMs;
  }

  /** Whether other requests are being answered, so that a silent upstream stands out. */
  isLive(nowMs: number, withinMs: number): boolean {
    return this.#activity.isLive(nowMs, withinMs);
  }

  /** Takes a request; it hears of its turn or that it gets none, possibly at once. */
  enter(ticket: Ticket, nowMs: number): void {
    const ahead = this.#queue.countAhead(ticket);
    if (this.#isSilent(nowMs) || !this.#breaker.mayPass(nowMs)) {
      if (ticket.isLate && ticket.waitBudgetMs > 0) this.#wait(ticket, ahead);
      else ticket.onDenied(TurnDenial.Stalled);
      return;
    }
    const { upstream, openCount } = this.#place(new Set(), nowMs, ticket.isLate);
    if (ahead === 0 && upstream) {
      ticket.onTurn(upstream);
      return;
    }
    const expectedMs = this.capacity.expectWaitMs(ahead, nowMs);
    if (openCount === 0) this.#enterClosed(ticket, ahead, nowMs);
    else if (expectedMs > ticket.waitBudgetMs) ticket.onDenied(TurnDenial.Full);
    else this.#wait(ticket, ahead, expectedMs);
  }

  /** Takes a request whose attempt broke off; it waits also while its pool takes no work. */
  enterAgain(ticket: Ticket): void {
    if (ticket.waitBudgetMs > 0) this.#wait(ticket, this.#queue.countAhead(ticket));
    else ticket.onDenied(TurnDenial.Full);
  }

  /** Takes a request out that its caller has given up. */
  leave(id: string): void {
    this.#queue.remove(id);
  }

  /** An upstream for one more attempt at a request, which does not wait. */
  choose(excluded: ReadonlySet<string>, nowMs: number): DirectUpstream | undefined {
    if (!this.#breaker.mayPass(nowMs)) return undefined;
    return this.#place(excluded, nowMs).upstream;
  }

  /**
   * A refusal of a request that has not run, with the time at which there will be room.
   *
   * @param returnLimitMs longest time after which the caller can be asked to come back
   */
  refuse(denial: TurnDenial, returnLimitMs: number, nowMs: number): Refusal {
    if (denial === TurnDenial.NoUpstream) return this.#refusals.empty();
    const isStalled = denial === TurnDenial.Stalled || this.#breaker.isOpen;
    if (isStalled) return this.#refusals.stalled(returnLimitMs);
    const { turnMs } = this.capacity;
    const restMs = this.#readRestMs(nowMs);
    if (restMs === undefined) return this.#refusals.full(returnLimitMs, turnMs, nowMs);
    return this.#refusals.resting(restMs, returnLimitMs, turnMs, nowMs);
  }

  #readRestMs(nowMs: number): number | undefined {
    return readRestMs(this.#options.board, this.#pool.name, nowMs);
  }

  /** Takes a request while no upstream takes work; it waits where one does again in time. */
  #enterClosed(ticket: Ticket, ahead: number, nowMs: number): void {
    const restMs = this.#readRestMs(nowMs);
    if (restMs === undefined) ticket.onDenied(TurnDenial.NoUpstream);
    else if (restMs > ticket.waitBudgetMs) ticket.onDenied(TurnDenial.Full);
    else this.#wait(ticket, ahead, restMs);
  }

  /** Notes that a request was sent to an upstream. */
  noteStart(nowMs: number): void {
    this.#activity.noteStart(nowMs);
  }

  /** Notes the first of an answer, after a time since the request was sent. */
  noteFirst(tookMs: number, nowMs: number): void {
    this.capacity.noteFirst(tookMs);
    this.#noteService(nowMs);
    this.#pump();
  }

  /** Notes a pause between two events of a stream. */
  notePause(pauseMs: number, targetMs: number, nowMs: number): void {
    this.capacity.notePause(pauseMs, targetMs, nowMs);
    this.#activity.notePause(pauseMs);
    this.#noteService(nowMs);
  }

  /** Notes that a request has ended and its place is free. */
  noteEnd(): void {
    this.#activity.noteEnd();
    this.#pump();
  }

  /** Notes that an upstream refused a request, or that its answer broke off. */
  noteFailure(): void {
    if (this.#pool.engine) this.#breaker.noteFailure();
  }

  /** Gives turns to those that wait, as far as there is room. */
  readonly #pump = (): void => {
    this.#pumpTimer = undefined;
    const nowMs = performance.now();
    for (let next = this.#queue.first; next; next = this.#queue.first) {
      const upstream = this.#placeWaiting(next, nowMs);
      if (!upstream) break;
      this.#queue.remove(next.id);
      next.onTurn(upstream);
    }
    if (this.#queue.size > 0) this.#pumpTimer ??= setTimeout(this.#pump, PUMP_MS);
  };

  #placeWaiting(ticket: Ticket, nowMs: number): DirectUpstream | undefined {
    if (this.#isSilent(nowMs) || !this.#breaker.mayPass(nowMs, WAITER_PROBE_MS)) return undefined;
    return this.#place(new Set(), nowMs, ticket.isLate).upstream;
  }

  #place(excluded: ReadonlySet<string>, nowMs: number, isLate = false): PlacementResult {
    const { board, random } = this.#options;
    const isHeldBack = isLate && this.capacity.isKeptForFirst(nowMs);
    if (isHeldBack || this.capacity.isReadingFull || this.capacity.isFull(nowMs)) {
      return { upstream: undefined, openCount: 1 };
    }
    const result = choosePlacement(board, {
      pool: this.#pool.name,
      excluded,
      limit: Math.ceil(this.capacity.limitPerUpstream),
      startsPerS: this.capacity.startsPerS,
      nowMs,
      draw: () => random.next(),
    });
    if (!result.upstream) this.capacity.noteBinding();
    return result;
  }

  /** @param expectedMs time until its turn, where the pool takes work */
  #wait(ticket: Ticket, ahead: number, expectedMs?: number): void {
    this.#write(LogLevel.Routine, 'Waits.', {
      id: ticket.id,
      ahead,
      expectedMs: expectedMs === undefined ? undefined : Math.round(expectedMs),
      budgetMs: Math.round(ticket.waitBudgetMs),
      limit: this.capacity.limitPerUpstream,
      isLate: ticket.isLate,
      isStalled: this.#breaker.isOpen,
    });
    this.#queue.add(ticket);
    this.#pumpTimer ??= setTimeout(this.#pump, PUMP_MS);
  }

  /** Whether a group whose events come at every pass has given none for some passes. */
  #isSilent(nowMs: number): boolean {
    if (!this.#pool.engine) return false;
    return this.#activity.isSilent(nowMs, SILENT_MS, SILENT_REQUESTS);
  }

  #noteService(nowMs: number): void {
    this.#activity.noteService(nowMs);
    this.#breaker.noteService();
  }

  #write(level: LogLevel, sentence: string, fields: LogFields = {}): void {
    const { log } = this.#options;
    log.write(level, LOG_PART, sentence, { pool: this.#pool.name, ...fields });
  }
}
