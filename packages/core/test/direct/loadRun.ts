/**
 * Replays a load against one entry and one group of engines under the fake clock.
 *
 * Arrivals are open-loop and Poisson by a seed, with the sheets' means: 835 prompt tokens and 28
 * events. A caller that is refused comes back once, when it was told to; one whose stream breaks
 * off, or is silent for two seconds, comes back soon. Callers differ in patience as in the recorded
 * days: their first time limits lie between 0.85 and 1 of the longest.
 */
import { Outcome } from '../../src/model/reason.js';
import { Random } from '../../src/ports/random.js';
import type { FakeCaller } from '../entry/fakeCaller.js';

import { DEADLINE_MS, DirectFixture, type TestClock } from './directFixture.js';
import type { FakeCall } from './fakeCall.js';
import { FIRST_COSTS, GroupModel } from './groupModel.js';

export const RANKS = 12;
export const SLOTS = 8;
export const MEAN_EVENTS = 28;

const TARGET_MS = 400;
const PAUSE_TARGET_MS = 120;
const MEAN_PROMPT_TOKENS = 835;
const STEP_MS = 5;

/** Load of the most loaded rank with a map that fits the demand. */
const FITTING_SKEW = 1.6;

/** Silence after which a caller hangs up. */
const SILENCE_MAX_MS = 2_000;

/** Time after which a caller comes back whose stream has broken off. */
const SOON_MS = 100;

/** Part by which callers' time limits differ. */
const PATIENCE_SPREAD = 0.15;

/** What a request asks of an engine. */
interface Work {
  readonly promptTokens: number;
  readonly events: number;
}

/** A caller's first try. */
interface First {
  readonly firstAtMs: number;
  readonly firstDeadlineMs: number;
}

interface Arrival extends First {
  readonly atMs: number;
  readonly caller: FakeCaller;
  readonly isReturned: boolean;
}

/** What became of one caller. */
interface Seen {
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

  /** Apart from the other, so that arrivals do not depend on it. */
  readonly #patience = new Random(12);

  readonly #seen = new Map<FakeCaller, Seen>();

  readonly #returns: (First & { readonly atMs: number })[] = [];

  readonly #works = new Map<string, Work>();

  #calls = 0;

  #passEndMs = 0;

  /**
   * @param costs of the engines
   * @param isTold whether the configuration tells them
   */
  constructor(clock: TestClock, costs = FIRST_COSTS, isTold = false) {
    this.#clock = clock;
    this.entry = new DirectFixture(3, isTold ? costs : undefined);
    this.group = new GroupModel(RANKS, SLOTS, FITTING_SKEW, costs);
    this.entry.addUpstreams('models', RANKS, SLOTS);
  }

  async run(perS: number, spanMs: number): Promise<void> {
    const endAtMs = performance.now() + spanMs;
    while (performance.now() < endAtMs) {
      if (this.#random.next() < (perS * STEP_MS) / 1_000) this.#askFirst();
      this.#askAgain();
      // eslint-disable-next-line no-await-in-loop -- the clock advances step by step
      await this.#step();
    }
  }

  /** Part of the callers of a span that had their stream on time. */
  readOnTime(fromMs: number, toMs: number): number {
    const first = this.arrivals.filter(
      ({ atMs, isReturned }) => !isReturned && atMs >= fromMs && atMs < toMs,
    );
    const onTime = first.filter((arrival) => this.#isOnTime(arrival));
    return onTime.length / Math.max(1, first.length);
  }

  /** Part of the callers of a span that had their whole stream, be it late. */
  readServed(fromMs: number, toMs: number): number {
    const callers = this.arrivals.filter(
      ({ firstAtMs }) => firstAtMs >= fromMs && firstAtMs < toMs,
    );
    const first = callers.filter(({ isReturned }) => !isReturned);
    const served = callers.filter(({ caller }) => caller.ends[0] === 'end');
    return served.length / Math.max(1, first.length);
  }

  #isOnTime({ caller, firstAtMs }: Arrival): boolean {
    const seen = this.#seen.get(caller);
    if (!seen?.firstEventMs || caller.ends[0] !== 'end') return false;
    const isPrompt = seen.firstEventMs - firstAtMs <= TARGET_MS;
    return isPrompt && seen.longestPauseMs <= PAUSE_TARGET_MS;
  }

  #askFirst(): void {
    const patience = 1 - PATIENCE_SPREAD * this.#patience.next();
    this.#ask({ firstAtMs: performance.now(), firstDeadlineMs: DEADLINE_MS * patience });
  }

  #ask({ firstAtMs, firstDeadlineMs }: First): void {
    const atMs = performance.now();
    const spentMs = atMs - firstAtMs;
    const caller = this.entry.ask('stream', { deadlineMs: firstDeadlineMs - spentMs });
    this.arrivals.push({ atMs, firstAtMs, firstDeadlineMs, caller, isReturned: spentMs > 0 });
    this.#seen.set(caller, { longestPauseMs: 0, text: '' });
  }

  #askAgain(): void {
    const nowMs = performance.now();
    const due = this.#returns.filter(({ atMs }) => atMs <= nowMs);
    due.forEach((each) => {
      this.#returns.splice(this.#returns.indexOf(each), 1);
      this.#ask(each);
    });
  }

  async #step(): Promise<void> {
    const { calls } = this.entry;
    for (; this.#calls < calls.length; this.#calls += 1) {
      const call = calls[this.#calls];
      if (call) this.#addCall(call);
    }
    if (performance.now() >= this.#passEndMs) {
      this.group.pass();
      this.#passEndMs = performance.now() + this.group.passMs;
    }
    await this.#clock.tickAsync(STEP_MS);
    this.arrivals.forEach((arrival) => this.#look(arrival));
  }

  #addCall(call: FakeCall): void {
    const { promptTokens, events } = this.#findWork(call.call.request.id);
    this.group.add(call, promptTokens, events);
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

  #look(arrival: Arrival): void {
    const { caller, isReturned } = arrival;
    const seen = this.#seen.get(caller);
    if (!seen) return;
    const nowMs = performance.now();
    if (caller.text !== seen.text) {
      if (seen.eventAtMs === undefined) seen.firstEventMs = nowMs;
      else seen.longestPauseMs = Math.max(seen.longestPauseMs, nowMs - seen.eventAtMs);
      seen.eventAtMs = nowMs;
      seen.text = caller.text;
    }
    const isSilent = nowMs - (seen.eventAtMs ?? arrival.atMs) > SILENCE_MAX_MS;
    const { refusal } = caller;
    const isOver = caller.ends.length > 0;
    if (isReturned || (isOver ? !refusal : !isSilent)) return;
    if (!isOver) caller.hangUp();
    this.#seen.delete(caller);
    const returnMs = refusal?.outcome === Outcome.NotRun ? refusal.retryAfterMs : SOON_MS;
    this.#returns.push({ ...arrival, atMs: nowMs + returnMs });
  }
}
