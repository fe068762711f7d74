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
import type { ForwardedRequest } from '../../src/ports/upstreamCaller.js';
import type { FakeCaller } from '../entry/fakeCaller.js';

import { LoadExchange } from '../../src/direct/loadExchange.js';
import { SilentLog } from '../../src/ports/silentLog.js';
import { DEADLINE_MS, DirectFixture, type TestClock } from './directFixture.js';
import type { FakeCall } from './fakeCall.js';
import { DEFAULT_COSTS, GroupModel } from './groupModel.js';
import { createPairedDialer } from './pairedLinks.js';
import { declareSize, drawWork, type UnevenLoad, type Work } from './unevenLoad.js';

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

/** First attempt of a caller. */
interface FirstAttempt {
  readonly firstAtMs: number;
  readonly firstDeadlineMs: number;
  /** Set where the load is uneven. */
  readonly fields?: Pick<ForwardedRequest, 'id' | 'size'>;
}

interface Arrival extends FirstAttempt {
  readonly atMs: number;
  readonly caller: FakeCaller;
  readonly isRetry: boolean;
}

/** Upstreams with common passes. */
interface PassingGroup {
  readonly model: GroupModel;
  readonly slowdown: number;
  readonly passEndMs: number;
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

  /** All entries, of which `entry` is the first. */
  readonly entries: readonly DirectFixture[];

  /** Groups of the upstreams, of which `group` is the first; each has passes of its own. */
  readonly #groups: readonly PassingGroup[];

  readonly #uneven: UnevenLoad | undefined;

  readonly #clock: TestClock;

  readonly #random = new Random(11);

  /** Separate generator, so that arrivals do not depend on it. */
  readonly #patienceRandom = new Random(12);

  readonly #observations = new Map<FakeCaller, Observation>();

  readonly #pendingRetries: (FirstAttempt & { readonly atMs: number })[] = [];

  readonly #works = new Map<string, Work>();

  readonly #handledCalls = new Map<DirectFixture, number>();

  /** Draws sizes and entries of an uneven load. */
  readonly #sizeRandom: Random;

  /**
   * @param costs costs of the engines
   * @param hasCosts whether the configuration contains them
   */
  constructor(clock: TestClock, costs = DEFAULT_COSTS, hasCosts = false, uneven?: UnevenLoad) {
    this.#clock = clock;
    this.#uneven = uneven;
    this.#sizeRandom = new Random(uneven?.seed ?? 0);
    this.entry = new DirectFixture(3, hasCosts ? costs : undefined);
    const others = Array.from(
      { length: (uneven?.entryCount ?? 1) - 1 },
      (_, at) => new DirectFixture(4 + at, hasCosts ? costs : undefined, `entry-${at + 2}`),
    );
    this.entries = [this.entry, ...others];
    this.entries.forEach((entry) => entry.addUpstreams('models', RANKS, SLOTS));
    if (others.length > 0) this.#link();
    const isApart = uneven?.isLockStep === false;
    this.#groups = Array.from({ length: isApart ? RANKS : 1 }, (_, at) => ({
      model: new GroupModel(isApart ? 1 : RANKS, SLOTS, MATCHING_SKEW, costs),
      slowdown: isApart ? (uneven.slowdowns[`models-${at}`] ?? 1) : 1,
      passEndMs: 0,
    }));
    this.group = this.#findGroup('models-0').model;
    if (isApart) return;
    Object.entries(uneven?.slowdowns ?? {}).forEach(([id, slowdown]) =>
      this.group.slowdowns.set(id, slowdown),
    );
  }

  /** Connects all entries, so that they tell each other their load. */
  #link(): void {
    const exchanges = new Map<string, LoadExchange>();
    const dialer = createPairedDialer((name) => exchanges.get(name), []);
    const addresses = this.entries.map(({ board: { name } }) => ({ name, address: name }));
    this.entries.forEach((entry) => {
      const { board, metrics } = entry;
      board.entryCount = this.entries.length;
      exchanges.set(board.name, new LoadExchange({ board, dialer, log: new SilentLog(), metrics }));
    });
    exchanges.forEach((exchange) => {
      exchange.start();
      exchange.setAddresses(addresses);
    });
  }

  #findGroup(upstream: string): PassingGroup {
    const [first] = this.#groups;
    const own = this.#groups[Number(upstream.slice('models-'.length))];
    const found = this.#groups.length > 1 ? own : first;
    if (!found) throw new Error(`no group of ${upstream}`);
    return found;
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

  /** Longest pauses that callers saw within a time span, as their mean. */
  readLongestPauseMs(fromMs: number, toMs: number): number {
    const pausesMs = this.arrivals
      .filter(({ atMs }) => atMs >= fromMs && atMs < toMs)
      .flatMap(({ caller }) => this.#observations.get(caller) ?? [])
      .map(({ longestPauseMs }) => longestPauseMs);
    return pausesMs.reduce((sum, each) => sum + each, 0) / Math.max(1, pausesMs.length);
  }

  #isOnTime({ caller, firstAtMs }: Arrival): boolean {
    const stats = this.#observations.get(caller);
    if (!stats?.firstEventMs || caller.ends[0] !== 'end') return false;
    const isPrompt = stats.firstEventMs - firstAtMs <= TARGET_MS;
    return isPrompt && stats.longestPauseMs <= PAUSE_TARGET_MS;
  }

  #sendFirstAttempt(): void {
    const patienceFactor = 1 - PATIENCE_SPREAD * this.#patienceRandom.next();
    const first = {
      firstAtMs: performance.now(),
      firstDeadlineMs: DEADLINE_MS * patienceFactor,
    };
    this.#send(this.#uneven ? { ...first, fields: this.#drawFields(this.#uneven) } : first);
  }

  #drawFields({ isDeclared }: UnevenLoad): Pick<ForwardedRequest, 'id' | 'size'> {
    const id = `uneven-${this.#works.size}`;
    const work = drawWork(this.#sizeRandom, MEAN_PROMPT_TOKENS, MEAN_EVENTS);
    this.#works.set(id, work);
    const size = declareSize(this.#sizeRandom, work, MEAN_EVENTS);
    return { id, size: isDeclared ? size : undefined };
  }

  #chooseEntry(): DirectFixture {
    if (this.entries.length === 1) return this.entry;
    return this.entries[this.#sizeRandom.nextInt(this.entries.length)] ?? this.entry;
  }

  #send({ firstAtMs, firstDeadlineMs, fields }: FirstAttempt): void {
    const atMs = performance.now();
    const spentMs = atMs - firstAtMs;
    const caller = this.#chooseEntry().sendRequest('stream', {
      deadlineMs: firstDeadlineMs - spentMs,
      ...fields,
    });
    const first = { firstAtMs, firstDeadlineMs, ...(fields && { fields }) };
    this.arrivals.push({ ...first, atMs, caller, isRetry: spentMs > 0 });
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
    this.entries.forEach((entry) => {
      entry.calls.slice(this.#handledCalls.get(entry) ?? 0).forEach((call) => this.#addCall(call));
      this.#handledCalls.set(entry, entry.calls.length);
    });
    this.#groups.forEach((group) => {
      if (performance.now() < group.passEndMs) return;
      group.model.runPass();
      Object.assign(group, { passEndMs: performance.now() + group.slowdown * group.model.passMs });
    });
    if (this.#uneven?.areSlowdownsReported) this.#reportSlowdowns(this.#uneven);
    await this.#clock.tickAsync(STEP_MS);
    this.arrivals.forEach((arrival) => this.#observe(arrival));
  }

  #addCall(call: FakeCall): void {
    const { promptTokens, events } = this.#findWork(call.call.request.id);
    this.#findGroup(call.call.upstream.id).model.addCall(call, promptTokens, events);
  }

  #reportSlowdowns({ slowdowns }: UnevenLoad): void {
    this.entries.forEach(({ board }) => {
      board.upstreams.forEach((upstream) =>
        upstream.noteSlowdown(slowdowns[upstream.id] ?? 1, performance.now()),
      );
    });
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
