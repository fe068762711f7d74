/**
 * Entries in front of one pool of engines, of which some prompt parts crash the engine that begins
 * an answer on them.
 *
 * The engines are ranks of one group, as on the users' fleets: a crash breaks off all answers of
 * the crashed engine at once and those of the other ranks after a stall, and the group declines
 * requests until the engine is back. Without a group, the other engines go on.
 */
import { LoadExchange } from '../../src/direct/loadExchange.js';
import { CountingMetrics } from '../../src/ports/countingMetrics.js';
import { Random } from '../../src/ports/random.js';
import { SilentLog } from '../../src/ports/silentLog.js';
import { CallFailureKind } from '../../src/ports/upstreamCaller.js';
import type { FakeCaller } from '../entry/fakeCaller.js';

import { DirectFixture, type TestClock } from './directFixture.js';
import { NOT_RUN_HEAD, type FakeCall } from './fakeCall.js';
import { createPairedDialer, type PairedLink } from './pairedLinks.js';

const STEP_MS = 5;

/** Time until an engine begins an answer, and time between two of its events. */
const PREFILL_MS = 60;
const EVENT_INTERVAL_MS = 50;
const EVENTS = 10;

/** Time for which a crashed engine is down, and for which its group stalls and is broken. */
const DOWN_MS = 3_000;
const STALL_MS = 1_500;
const BROKEN_MS = 4_000;

export interface FleetOptions {
  readonly entryCount: number;
  readonly engineCount: number;
  /** Whether the engines are ranks of one group. */
  readonly isGroup: boolean;
  /** Prompt parts that crash an engine; can change over time. */
  readonly deadlyParts: Set<string>;
}

/** A request of a caller and what became of it. */
export interface SentRequest {
  readonly atMs: number;
  readonly parts: readonly string[];
  readonly caller: FakeCaller;
}

interface Work {
  readonly call: FakeCall;
  readonly sentAtMs: number;
  eventCount: number;
}

/** Entries, engines and their callers. */
export class CrashingFleet {
  readonly entries: readonly DirectFixture[];

  readonly exchanges: readonly LoadExchange[];

  readonly links: PairedLink[] = [];

  readonly sent: SentRequest[] = [];

  /** Times of the crashes. */
  readonly crashesAtMs: number[] = [];

  /** Times at which requests with a deadly part have reached an engine. */
  readonly deadlyAtMs: number[] = [];

  readonly #clock: TestClock;

  readonly #options: FleetOptions;

  readonly #random = new Random(7);

  readonly #handledCalls = new Map<DirectFixture, number>();

  #works: Work[] = [];

  /** When a crashed engine is back, by id. */
  readonly #downUntilMs = new Map<string, number>();

  #starts = 1;

  #stalledUntilMs = Number.NEGATIVE_INFINITY;

  #brokenUntilMs = Number.NEGATIVE_INFINITY;

  constructor(clock: TestClock, options: FleetOptions) {
    this.#clock = clock;
    this.#options = options;
    const names = Array.from({ length: options.entryCount }, (_, at) => `entry-${at}`);
    this.entries = names.map((name, at) => new DirectFixture(at + 1, undefined, name));
    const exchanges = new Map<string, LoadExchange>();
    const dialer = createPairedDialer((name) => exchanges.get(name), this.links);
    this.entries.forEach((entry) => {
      const { board } = entry;
      board.entryCount = names.length;
      entry.addUpstreams('models', options.engineCount);
      const telemetry = { log: new SilentLog(), metrics: new CountingMetrics() };
      exchanges.set(board.name, new LoadExchange({ board, dialer, ...telemetry }));
    });
    this.exchanges = [...exchanges.values()];
    const addresses = names.map((name) => ({ name, address: name }));
    this.exchanges.forEach((exchange) => {
      exchange.start();
      exchange.setAddresses(addresses);
    });
  }

  /** Sends a request with the given shared prompt parts to an entry. */
  send(parts: readonly string[], entryAt = this.#random.nextInt(this.entries.length)): SentRequest {
    const entry = this.entries[entryAt];
    if (!entry) throw new Error(`no entry ${entryAt}`);
    const id = `${entry.board.name}/${this.sent.length}`;
    const caller = entry.sendRequest('stream', { id, sharedPromptParts: parts });
    const sent = { atMs: performance.now(), parts, caller };
    this.sent.push(sent);
    return sent;
  }

  /**
   * Runs for a time.
   *
   * @param rates requests per second, each with the function that chooses its prompt parts
   */
  async run(
    spanMs: number,
    rates: readonly { perS: number; choose: (random: Random) => readonly string[] }[],
  ): Promise<void> {
    const endAtMs = performance.now() + spanMs;
    while (performance.now() < endAtMs) {
      rates
        .filter(({ perS }) => this.#random.next() < (perS * STEP_MS) / 1_000)
        .forEach(({ choose }) => this.send(choose(this.#random)));
      // eslint-disable-next-line no-await-in-loop -- the clock advances step by step
      await this.#step();
    }
  }

  stop(): void {
    this.exchanges.forEach((exchange) => exchange.stop());
  }

  /** Number of requests with a deadly part that reached an engine after the given time. */
  countDeadlyAfter(atMs: number): number {
    return this.deadlyAtMs.filter((reachedAtMs) => reachedAtMs > atMs).length;
  }

  /** Part of the requests without a deadly part, sent in a time span, that were answered. */
  readServed(fromMs: number, toMs = Number.POSITIVE_INFINITY): number {
    const sound = this.sent.filter(
      ({ atMs, parts }) => atMs >= fromMs && atMs < toMs && !this.#isDeadly(parts),
    );
    const served = sound.filter(({ caller }) => caller.ends[0] === 'end');
    return served.length / Math.max(1, sound.length);
  }

  #isDeadly(parts: readonly string[]): boolean {
    return parts.some((part) => this.#options.deadlyParts.has(part));
  }

  async #step(): Promise<void> {
    this.#restartEngines();
    this.entries.forEach((entry) => {
      const from = this.#handledCalls.get(entry) ?? 0;
      entry.calls.slice(from).forEach((call) => this.#takeCall(call));
      this.#handledCalls.set(entry, entry.calls.length);
    });
    this.#works = this.#works.filter(({ call }) => call.isOpen);
    [...this.#works].forEach((work) => this.#advance(work));
    await this.#clock.tickAsync(STEP_MS);
  }

  #takeCall(call: FakeCall): void {
    if (this.#downUntilMs.has(call.call.upstream.id)) call.fail(CallFailureKind.NotSent);
    else if (performance.now() < this.#brokenUntilMs) call.head(NOT_RUN_HEAD);
    else {
      if (this.#isDeadly(call.call.request.sharedPromptParts)) {
        this.deadlyAtMs.push(performance.now());
      }
      this.#works.push({ call, sentAtMs: performance.now(), eventCount: 0 });
    }
  }

  #advance(work: Work): void {
    const nowMs = performance.now();
    const { call, sentAtMs, eventCount } = work;
    if (!call.isOpen || nowMs < this.#stalledUntilMs) return;
    if (nowMs < sentAtMs + PREFILL_MS + eventCount * EVENT_INTERVAL_MS) return;
    if (eventCount === 0) call.head();
    if (this.#isDeadly(call.call.request.sharedPromptParts)) {
      this.#crash(call.call.upstream.id);
      return;
    }
    call.sendEvents(Number(call.call.resumeAfterId ?? 0) + 1);
    Object.assign(work, { eventCount: eventCount + 1 });
    if (eventCount + 1 === EVENTS) call.end();
  }

  #crash(engine: string): void {
    const nowMs = performance.now();
    this.crashesAtMs.push(nowMs);
    this.#downUntilMs.set(engine, nowMs + DOWN_MS);
    this.entries.forEach(({ upstreams }) => upstreams.refusing.add(engine));
    this.#works
      .filter(({ call }) => call.call.upstream.id === engine)
      .forEach(({ call }) => call.fail());
    if (!this.#options.isGroup) return;
    this.#stalledUntilMs = nowMs + STALL_MS;
    this.#brokenUntilMs = nowMs + BROKEN_MS;
    setTimeout(() => this.#works.forEach(({ call }) => call.fail()), STALL_MS);
  }

  #restartEngines(): void {
    [...this.#downUntilMs]
      .filter(([, untilMs]) => performance.now() >= untilMs)
      .forEach(([id]) => {
        this.#downUntilMs.delete(id);
        this.#starts += 1;
        this.entries.forEach(({ board, registry, upstreams }) => {
          upstreams.refusing.delete(id);
          const entry = board.findUpstream(id)?.entry;
          if (entry) registry.put({ ...entry, startedAtUnixMs: this.#starts });
        });
      });
  }
}
