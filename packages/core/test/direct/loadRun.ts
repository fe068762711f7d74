/**
 * Replays a load against one entry and one group of engines under the fake clock.
 *
 * Arrivals are an open-loop Poisson process with a fixed seed and the means of the users' data
 * sheets: 835 prompt tokens and 28 events. A refused caller retries once, after the Retry-After
 * delay. A caller whose stream breaks off, or is silent for two seconds, retries shortly after. As
 * in recorded loads, the deadlines of first attempts lie between 0.85 and 1 of the longest.
 */
import { Outcome } from '../../src/model/reason.js';
import { Random } from '../../src/ports/random.js';
import type { FakeCaller } from '../entry/fakeCaller.js';

import { DEADLINE_MS, DirectFixture, type TestClock } from './directFixture.js';
import type { FakeCall } from './fakeCall.js';
import { DEFAULT_COSTS, GroupModel } from './groupModel.js';

export const RANKS = 12;
export const SLOTS = 8;
export const MEAN_EVENTS = 28;

const TARGET_MS = 400;
const PAUSE_TARGET_MS = 120;
const MEAN_PROMPT_TOKENS = 835;
const STEP_MS = 5;

/** Expert load of the most loaded rank with an expert map that matches the demand. */
const MATCHING_SKEW = 1.6;

/** Time without an event after which a caller disconnects. */
const SILENCE_MAX_MS = 2_000;

/** Time after which a caller retries whose stream has broken off. */
const RECONNECT_DELAY_MS = 100;

/** Range of the callers' deadlines, relative to the longest. */
const PATIENCE_SPREAD = 0.15;

/** Work that a request requires of an engine. */
interface Work {
  readonly promptTokens: number;
  readonly events: number;
}

/** First attempt of a caller. */
interface FirstAttempt {
  readonly firstAtMs: number;
  readonly firstDeadlineMs: number;
}

interface Arrival extends FirstAttempt {
  readonly atMs: number;
  readonly caller: FakeCaller;
  readonly isRetry: boolean;
}

/** Observed response of one caller. */
interface Observation {
  firstEventMs?: number;
  eventAtMs?: number;
  longestPauseMs: number;
  text: string;
}

/** Runs arrivals against one entry and one group. */
export class LoadRun {
  readonly arrivals: Arrival[] = [];

  readonly entry: DirectFixture;

  readonly group: GroupModel;

  readonly #clock: TestClock;

  readonly #random = new Random(11);

  /** Separate generator, so that arrivals do not depend on it. */
  readonly #patienceRandom = new Random(12);

  readonly #observations = new Map<FakeCaller, Observation>();

  readonly #pendingRetries: (FirstAttempt & { readonly atMs: number })[] = [];

  readonly #works = new Map<string, Work>();

  #handledCalls = 0;

  #passEndMs = 0;

  /**
   * @param costs costs of the engines
   * @param hasCosts whether the configuration contains them
   */
  constructor(clock: TestClock, costs = DEFAULT_COSTS, hasCosts = false) {
    this.#clock = clock;
    this.entry = new DirectFixture(3, hasCosts ? costs : undefined);
    this.group = new GroupModel(RANKS, SLOTS, MATCHING_SKEW, costs);
    this.entry.addUpstreams('models', RANKS, SLOTS);
  }

  async run(perS: number, spanMs: number): Promise<void> {
    const endAtMs = performance.now() + spanMs;
    while (performance.now() < endAtMs) {
      if (this.#random.next() < (perS * STEP_MS) / 1_000) this.#sendFirstAttempt();
      this.#sendDueRetries();
      // eslint-disable-next-line no-await-in-loop -- the clock advances step by step
      await this.#step();
    }
  }

  /** Part of the callers within a time span whose stream was on time. */
  readOnTime(fromMs: number, toMs: number): number {
    const firstAttempts = this.arrivals.filter(
      ({ atMs, isRetry }) => !isRetry && atMs >= fromMs && atMs < toMs,
    );
    const onTime = firstAttempts.filter((arrival) => this.#isOnTime(arrival));
    return onTime.length / Math.max(1, firstAttempts.length);
  }

  /** Part of the callers within a time span whose stream was completed, even if late. */
  readServed(fromMs: number, toMs: number): number {
    const callers = this.arrivals.filter(
      ({ firstAtMs }) => firstAtMs >= fromMs && firstAtMs < toMs,
    );
    const firstAttempts = callers.filter(({ isRetry }) => !isRetry);
    const served = callers.filter(({ caller }) => caller.ends[0] === 'end');
    return served.length / Math.max(1, firstAttempts.length);
  }

  #isOnTime({ caller, firstAtMs }: Arrival): boolean {
    const stats = this.#observations.get(caller);
    if (!stats?.firstEventMs || caller.ends[0] !== 'end') return false;
    const isPrompt = stats.firstEventMs - firstAtMs <= TARGET_MS;
    return isPrompt && stats.longestPauseMs <= PAUSE_TARGET_MS;
  }

  #sendFirstAttempt(): void {
    const patienceFactor = 1 - PATIENCE_SPREAD * this.#patienceRandom.next();
    this.#send({ firstAtMs: performance.now(), firstDeadlineMs: DEADLINE_MS * patienceFactor });
  }

  #send({ firstAtMs, firstDeadlineMs }: FirstAttempt): void {
    const atMs = performance.now();
    const spentMs = atMs - firstAtMs;
    const caller = this.entry.sendRequest('stream', { deadlineMs: firstDeadlineMs - spentMs });
    this.arrivals.push({ atMs, firstAtMs, firstDeadlineMs, caller, isRetry: spentMs > 0 });
    this.#observations.set(caller, { longestPauseMs: 0, text: '' });
  }

  #sendDueRetries(): void {
    const nowMs = performance.now();
    const due = this.#pendingRetries.filter(({ atMs }) => atMs <= nowMs);
    due.forEach((each) => {
      this.#pendingRetries.splice(this.#pendingRetries.indexOf(each), 1);
      this.#send(each);
    });
  }

  async #step(): Promise<void> {
    const { calls } = this.entry;
    for (; this.#handledCalls < calls.length; this.#handledCalls += 1) {
      const call = calls[this.#handledCalls];
      if (call) this.#addCall(call);
    }
    if (performance.now() >= this.#passEndMs) {
      this.group.runPass();
      this.#passEndMs = performance.now() + this.group.passMs;
    }
    await this.#clock.tickAsync(STEP_MS);
    this.arrivals.forEach((arrival) => this.#observe(arrival));
  }

  #addCall(call: FakeCall): void {
    const { promptTokens, events } = this.#findWork(call.call.request.id);
    this.group.addCall(call, promptTokens, events);
  }

  #findWork(id: string): Work {
    const known = this.#works.get(id);
    if (known) return known;
    const size = -Math.log(1 - this.#random.next());
    const work = {
      promptTokens: Math.ceil(MEAN_PROMPT_TOKENS * Math.min(3, size)),
      events: Math.max(1, Math.round(MEAN_EVENTS * Math.min(2.5, size))),
    };
    this.#works.set(id, work);
    return work;
  }

  #observe(arrival: Arrival): void {
    const { caller, isRetry } = arrival;
    const stats = this.#observations.get(caller);
    if (!stats) return;
    const nowMs = performance.now();
    if (caller.text !== stats.text) {
      if (stats.eventAtMs === undefined) stats.firstEventMs = nowMs;
      else stats.longestPauseMs = Math.max(stats.longestPauseMs, nowMs - stats.eventAtMs);
      stats.eventAtMs = nowMs;
      stats.text = caller.text;
    }
    const isSilent = nowMs - (stats.eventAtMs ?? arrival.atMs) > SILENCE_MAX_MS;
    const { refusal } = caller;
    const isOver = caller.ends.length > 0;
    if (isRetry || (isOver ? !refusal : !isSilent)) return;
    if (!isOver) caller.hangUp();
    this.#observations.delete(caller);
    const returnMs =
      refusal?.outcome === Outcome.NotRun ? refusal.retryAfterMs : RECONNECT_DELAY_MS;
    this.#pendingRetries.push({ ...arrival, atMs: nowMs + returnMs });
  }
}
