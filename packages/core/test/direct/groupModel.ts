/**
 * Model of a group of engines in lock-step, for replaying loads against an entry.
 *
 * The figures are those of the engine's user documentation: a pass of five steps, each of 5.85 ms
 * and 0.53 ms per decoding request; 61 prompt tokens prefilled per millisecond; and the part of the
 * work that depends on the experts of the most loaded rank.
 */
import type { EngineCosts } from '../../src/direct/passModel.js';
import { NOT_RUN_HEAD, type FakeCall } from './fakeCall.js';

/** Engine costs of the users' first fleets. */
export const DEFAULT_COSTS: EngineCosts = {
  stepMs: 5.85,
  decodeMs: 0.53,
  contextMsPerKTokens: 0,
  prefillTokensPerMs: 61.2,
  stepsPerPass: 5,
  promptTokens: 835,
  answerTokens: 140,
};

/** Engine costs of a later fleet, where a decoding request costs two and a half times as much. */
export const COSTLY_DECODE_COSTS: EngineCosts = {
  stepMs: 4.55,
  decodeMs: 1.36,
  contextMsPerKTokens: 0.027,
  prefillTokensPerMs: 61.4,
  stepsPerPass: 4,
  promptTokens: 835,
  answerTokens: 97,
};

/** Part of the work that the experts do. */
const EXPERT_FRACTION = 0.85;

interface Stream {
  readonly call: FakeCall;
  promptTokens: number;
  eventsLeft: number;
  nextId: number;
  hasHead: boolean;
}

/** Runs a stream's prefill, or emits its next event. */
function advance(stream: Stream): void {
  const { call } = stream;
  if (stream.promptTokens > 0) {
    Object.assign(stream, { promptTokens: 0 });
    return;
  }
  if (!stream.hasHead) call.head();
  call.sendEvents(stream.nextId);
  const eventsLeft = stream.eventsLeft - 1;
  Object.assign(stream, { eventsLeft, nextId: stream.nextId + 1, hasHead: true });
  if (eventsLeft === 0) call.end();
}

/** Simulates the passes of one group for the calls that an entry has made. */
export class GroupModel {
  readonly #ranks = new Map<string, Stream[]>();

  readonly #size: number;

  readonly #slots: number;

  /** Expert load of the most loaded rank relative to the mean. */
  skew: number;

  readonly #costs: EngineCosts;

  /** Slowdown factors of slow ranks, by upstream id. */
  readonly slowdowns = new Map<string, number>();

  #isBroken = false;

  constructor(size: number, slots: number, skew: number, costs = DEFAULT_COSTS) {
    this.#costs = costs;
    this.#size = size;
    this.#slots = slots;
    this.skew = skew;
  }

  /** Loses a rank: all streams break off, and requests are declined until the rank is back. */
  loseRank(): void {
    this.#isBroken = true;
    const calls = [...this.#ranks.values()].flatMap((streams) => streams.map(({ call }) => call));
    this.#ranks.clear();
    calls.forEach((call) => call.fail());
  }

  restoreRank(): void {
    this.#isBroken = false;
  }

  /** Adds a call to its rank; a resumed stream continues after its last event. */
  addCall(call: FakeCall, promptTokens: number, events: number): void {
    if (this.#isBroken) {
      call.head(NOT_RUN_HEAD);
      return;
    }
    const rank = call.call.upstream.id;
    const streams = this.#ranks.get(rank) ?? [];
    const done = Number(call.call.resumeAfterId ?? 0);
    streams.push({
      call,
      promptTokens,
      eventsLeft: events - done,
      nextId: done + 1,
      hasHead: false,
    });
    this.#ranks.set(rank, streams);
  }

  /** Duration of the next pass. */
  get passMs(): number {
    return this.slowdowns.size > 0 ? this.#slowedPassMs : this.#evenPassMs;
  }

  /** Duration of the next pass where some ranks are slow; each rank adds up its own work. */
  get #slowedPassMs(): number {
    const works = [...this.#ranks].map(([rank, streams]) => {
      const running = this.#listRunning(streams);
      const prompts = running.reduce((sum, each) => sum + each.promptTokens, 0);
      const workMs = this.#readWriteMs(running.length) + prompts / this.#costs.prefillTokensPerMs;
      return { workMs, rankMs: workMs * (this.slowdowns.get(rank) ?? 1) };
    });
    const fullestMs = Math.max(this.#readWriteMs(0), ...works.map(({ rankMs }) => rankMs));
    const meanMs = works.reduce((sum, { workMs }) => sum + workMs, 0) / this.#size;
    return (1 - EXPERT_FRACTION) * fullestMs + EXPERT_FRACTION * this.skew * meanMs;
  }

  #readWriteMs(decodingRequests: number): number {
    const { stepMs, decodeMs, stepsPerPass } = this.#costs;
    return stepsPerPass * (stepMs + decodeMs * decodingRequests);
  }

  get #evenPassMs(): number {
    const ranks = [...this.#ranks.values()].map((streams) => this.#listRunning(streams));
    const fullest = Math.max(0, ...ranks.map((streams) => streams.length));
    const prefilling = ranks.map((streams) =>
      streams.reduce((sum, each) => sum + each.promptTokens, 0),
    );
    const { prefillTokensPerMs } = this.#costs;
    const writeMs = this.#readWriteMs(fullest);
    const fullestRankMs = writeMs + Math.max(0, ...prefilling) / prefillTokensPerMs;
    const meanPrefilling = prefilling.reduce((sum, tokens) => sum + tokens, 0) / this.#size;
    const expertMs = writeMs + meanPrefilling / prefillTokensPerMs;
    return (1 - EXPERT_FRACTION) * fullestRankMs + EXPERT_FRACTION * this.skew * expertMs;
  }

  /** Runs one pass. A prompt that is prefilled in it emits events from the next pass on. */
  runPass(): void {
    this.#ranks.forEach((streams, rank) => {
      this.#listRunning(streams).forEach((stream) => advance(stream));
      const open = streams.filter(({ call, eventsLeft }) => !call.isCancelled && eventsLeft > 0);
      this.#ranks.set(rank, open);
    });
  }

  #listRunning(streams: readonly Stream[]): readonly Stream[] {
    return streams.filter(({ call }) => !call.isCancelled).slice(0, this.#slots);
  }
}
