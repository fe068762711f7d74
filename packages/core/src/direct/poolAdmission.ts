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
import { choosePlacement, readBackoffMs, type PlacementResult } from './placement.js';
import type { PoolActivity } from './poolActivity.js';
import type { BreakerChangeSource, PoolBreaker } from './poolBreaker.js';
import { PoolCapacity } from './poolCapacity.js';
import { PoolRefusals } from './poolRefusals.js';
import type { DirectPool } from './routeTable.js';
import { AdmissionDenial, AdmissionQueue, type AdmissionTicket } from './admissionQueue.js';

const LOG_PART = 'admission';

/** Silence of a whole group that is more than a few slow passes. */
const POOL_SILENCE_MS = 450;

/** Requests in flight without any event from which silence is the pool's. */
const SILENT_REQUESTS_MIN = 4;

/** Time between two looks at requests that wait for a second's starts to pass. */
const RECHECK_MS = 20;

/**
 * Time without a new request after which one that waits asks a stalled pool: a new one that is
 * declined can come back, while each refusal costs a waiting one of its attempts.
 */
const QUEUED_PROBE_MS = 600;

export interface PoolAdmissionOptions {
  readonly board: FleetBoard;
  readonly random: Random;
  readonly log: Log;
  /** Requests that all entries may start at one upstream in a second; unbounded where undefined. */
  readonly getStartLimitPerS: (pool: DirectPool) => number | undefined;
}

/** Admission of one pool. */
export class PoolAdmission {
  readonly #breaker: PoolBreaker;

  readonly capacity: PoolCapacity;

  readonly #options: PoolAdmissionOptions;

  #pool: DirectPool;

  readonly #refusals: PoolRefusals;

  readonly #queue = new AdmissionQueue();

  readonly #unsubscribeBreaker: () => void;

  #admitTimer: NodeJS.Timeout | undefined;

  constructor(options: PoolAdmissionOptions, pool: DirectPool) {
    this.#options = options;
    this.#pool = pool;
    this.#refusals = new PoolRefusals(pool.name, options.random);
    const onAdjust = (ratio: number): void => this.#logLimit(ratio);
    this.capacity = new PoolCapacity({ ...options, onAdjust }, pool);
    this.#breaker = options.board.readBreaker(pool.name);
    this.#unsubscribeBreaker = this.#breaker.onChange((source) =>
      this.#handleBreakerChange(source),
    );
  }

  /** Ends with its pool. */
  close(): void {
    this.#unsubscribeBreaker();
  }

  /** Takes in what a newer configuration says of the pool. */
  update(pool: DirectPool): void {
    this.#pool = pool;
    this.capacity.update(pool);
  }

  /** @param ratio of pauses to their target, or to what the model says of them */
  #logLimit(ratio: number): void {
    this.#write(LogLevel.Info, 'The limit has changed.', {
      limit: Math.round(this.capacity.limitPerUpstream * 10) / 10,
      pausesRatio: Math.round(ratio * 100) / 100,
    });
  }

  #handleBreakerChange(source: BreakerChangeSource): void {
    if (this.#breaker.isOpen) this.#write(LogLevel.Warn, 'A pool takes no work.');
    else {
      this.#write(LogLevel.Info, 'A pool takes work again.', { news: source });
      this.#admitWaiting();
    }
  }

  get #activity(): PoolActivity {
    return this.#options.board.readActivity(this.#pool.name);
  }

  get waitingCount(): number {
    return this.#queue.size;
  }

  /** Pauses of the pool's streams of late; undefined where there were none. */
  get meanPauseMs(): number | undefined {
    return this.#activity.meanPauseMs;
  }

  /** Whether other requests are being answered, so that a silent upstream stands out. */
  isLive(nowMs: number, withinMs: number): boolean {
    return this.#activity.isLive(nowMs, withinMs);
  }

  /** Takes a request; it hears of its turn or that it gets none, possibly at once. */
  admit(ticket: AdmissionTicket, nowMs: number): void {
    const ahead = this.#queue.countAhead(ticket);
    if (this.#isSilent(nowMs) || !this.#breaker.tryPass(nowMs)) {
      if (ticket.isLate && ticket.waitBudgetMs > 0) this.#enqueue(ticket, ahead);
      else ticket.onDenied(AdmissionDenial.Stalled);
      return;
    }
    const { upstream, availableCount } = this.#place(new Set(), nowMs, ticket.isLate);
    if (ahead === 0 && upstream) {
      ticket.onAdmitted(upstream);
      return;
    }
    const expectedMs = this.capacity.estimateWaitMs(ahead, nowMs);
    if (availableCount === 0) this.#admitDuringBackoff(ticket, ahead, nowMs);
    else if (expectedMs > ticket.waitBudgetMs) ticket.onDenied(AdmissionDenial.Full);
    else this.#enqueue(ticket, ahead, expectedMs);
  }

  /** Takes a request whose attempt broke off; it waits also while its pool takes no work. */
  readmit(ticket: AdmissionTicket): void {
    if (ticket.waitBudgetMs > 0) this.#enqueue(ticket, this.#queue.countAhead(ticket));
    else ticket.onDenied(AdmissionDenial.Full);
  }

  /** Takes a request out that its caller has given up. */
  withdraw(id: string): void {
    this.#queue.remove(id);
  }

  /** An upstream for one more attempt at a request, which does not wait. */
  chooseUpstream(excluded: ReadonlySet<string>, nowMs: number): DirectUpstream | undefined {
    if (!this.#breaker.tryPass(nowMs)) return undefined;
    return this.#place(excluded, nowMs).upstream;
  }

  /**
   * A refusal of a request that has not run, with the time at which there will be room.
   *
   * @param maxDelayMs longest time after which the caller can be asked to come back
   */
  createRefusal(denial: AdmissionDenial, maxDelayMs: number, nowMs: number): Refusal {
    if (denial === AdmissionDenial.NoUpstream) return this.#refusals.createNoUpstream();
    const isStalled = denial === AdmissionDenial.Stalled || this.#breaker.isOpen;
    if (isStalled) return this.#refusals.createStalled(maxDelayMs);
    const { admissionIntervalMs: intervalMs } = this.capacity;
    const backoffMs = this.#readBackoffMs(nowMs);
    if (backoffMs === undefined) return this.#refusals.createFull(maxDelayMs, intervalMs, nowMs);
    return this.#refusals.createBackingOff(backoffMs, maxDelayMs, intervalMs, nowMs);
  }

  #readBackoffMs(nowMs: number): number | undefined {
    return readBackoffMs(this.#options.board, this.#pool.name, nowMs);
  }

  /** Takes a request while no upstream takes work; it waits where one does again in time. */
  #admitDuringBackoff(ticket: AdmissionTicket, ahead: number, nowMs: number): void {
    const backoffMs = this.#readBackoffMs(nowMs);
    if (backoffMs === undefined) ticket.onDenied(AdmissionDenial.NoUpstream);
    else if (backoffMs > ticket.waitBudgetMs) ticket.onDenied(AdmissionDenial.Full);
    else this.#enqueue(ticket, ahead, backoffMs);
  }

  /** Notes that a request was sent to an upstream. */
  noteStart(nowMs: number): void {
    this.#activity.noteStart(nowMs);
  }

  /** Notes the first of an answer, after a time since the request was sent. */
  noteFirstOutput(tookMs: number, nowMs: number): void {
    this.capacity.noteFirstOutput(tookMs);
    this.#noteOutput(nowMs);
    this.#admitWaiting();
  }

  /** Notes a pause between two events of a stream. */
  notePause(pauseMs: number, targetMs: number, nowMs: number): void {
    this.capacity.notePause(pauseMs, targetMs, nowMs);
    this.#activity.notePause(pauseMs);
    this.#noteOutput(nowMs);
  }

  /** Notes that a request has ended and its place is free. */
  noteEnd(): void {
    this.#activity.noteEnd();
    this.#admitWaiting();
  }

  /** Notes that an upstream refused a request, or that its answer broke off. */
  noteFailure(): void {
    if (this.#pool.engine) this.#breaker.noteFailure();
  }

  /** Gives turns to those that wait, as far as there is room. */
  readonly #admitWaiting = (): void => {
    this.#admitTimer = undefined;
    const nowMs = performance.now();
    for (let next = this.#queue.first; next; next = this.#queue.first) {
      const upstream = this.#placeQueued(next, nowMs);
      if (!upstream) break;
      this.#queue.remove(next.id);
      next.onAdmitted(upstream);
    }
    if (this.#queue.size > 0) this.#admitTimer ??= setTimeout(this.#admitWaiting, RECHECK_MS);
  };

  #placeQueued(ticket: AdmissionTicket, nowMs: number): DirectUpstream | undefined {
    if (this.#isSilent(nowMs) || !this.#breaker.tryPass(nowMs, QUEUED_PROBE_MS)) return undefined;
    return this.#place(new Set(), nowMs, ticket.isLate).upstream;
  }

  #place(excluded: ReadonlySet<string>, nowMs: number, isLate = false): PlacementResult {
    const { board, random } = this.#options;
    const isReserved = isLate && this.capacity.isReservedForOnTime(nowMs);
    if (isReserved || this.capacity.isPrefillFull || this.capacity.isFull(nowMs)) {
      return { upstream: undefined, availableCount: 1 };
    }
    const result = choosePlacement(board, {
      pool: this.#pool.name,
      excluded,
      limit: Math.ceil(this.capacity.limitPerUpstream),
      startsPerS: this.capacity.startsPerS,
      nowMs,
      draw: () => random.next(),
    });
    if (!result.upstream) this.capacity.noteLimitReached();
    return result;
  }

  /** @param expectedMs time until its turn, where the pool takes work */
  #enqueue(ticket: AdmissionTicket, ahead: number, expectedMs?: number): void {
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
    this.#admitTimer ??= setTimeout(this.#admitWaiting, RECHECK_MS);
  }

  /** Whether a group whose events come at every pass has given none for some passes. */
  #isSilent(nowMs: number): boolean {
    if (!this.#pool.engine) return false;
    return this.#activity.isSilent(nowMs, POOL_SILENCE_MS, SILENT_REQUESTS_MIN);
  }

  #noteOutput(nowMs: number): void {
    this.#activity.noteService(nowMs);
    this.#breaker.noteService();
  }

  #write(level: LogLevel, sentence: string, fields: LogFields = {}): void {
    const { log } = this.#options;
    log.write(level, LOG_PART, sentence, { pool: this.#pool.name, ...fields });
  }
}
