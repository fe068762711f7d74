/** Entries in front of one pool of upstreams that name request limits in their answers. */
import { LoadExchange } from '../../../src/direct/loadExchange.js';
import type { Message } from '../../../src/messages/message.js';
import { Ok, type Result } from '../../../src/outcome.js';
import { CountingMetrics } from '../../../src/ports/countingMetrics.js';
import { Random } from '../../../src/ports/random.js';
import { SilentLog } from '../../../src/ports/silentLog.js';
import { DirectFixture, type TestClock } from '../directFixture.js';
import type { FakeCall } from '../fakeCall.js';
import { createPairedDialer, type PairedLink } from '../pairedLinks.js';
import type { FakeCaller } from '../../entry/fakeCaller.js';

const STEP_MS = 5;

/** Time from a request to the head of its answer, and to its end. */
const FIRST_OUTPUT_MS = 60;
const ANSWER_MS = 300;

/** Time span in which the arrivals at an upstream are counted. */
const WINDOW_MS = 4_000;

/** Arrivals in a window that are allowed beyond one and a half times the limit. */
const WINDOW_SLACK = 5;

const EXCESS_FACTOR = 1.5;

export interface LimitedFleetOptions {
  readonly entryCount: number;
  readonly upstreamCount: number;
  /** Pool of the upstreams; `models` has engines, `exchange` plain services. */
  readonly pool?: 'models' | 'exchange';
}

/** What the upstreams name in their answers. */
export type Naming = (upstream: string) => Result<number | undefined, string>;

interface Work {
  readonly call: FakeCall;
  readonly sentAtMs: number;
  hasHead: boolean;
}

interface Arrival {
  readonly upstream: string;
  readonly entry: string;
  readonly atMs: number;
}

/** Request of a caller. */
export interface SentRequest {
  readonly atMs: number;
  readonly entry: string;
  readonly caller: FakeCaller;
  /** Time until the refusal; undefined while there is none. */
  refusedAfterMs?: number;
}

function hasLimits(message: Message): boolean {
  return 'limits' in message && message.limits !== undefined;
}

const NO_LIMIT: Naming = () => Ok(undefined);

/** Largest number of arrivals that a limit allows in the window in which they are counted. */
export function computeAllowed(perS: number): number {
  return (EXCESS_FACTOR * perS * WINDOW_MS) / 1_000 + WINDOW_SLACK;
}

/** Entries, upstreams and their callers. */
export class LimitedFleet {
  entries: DirectFixture[];

  readonly exchanges = new Map<string, LoadExchange>();

  readonly links: PairedLink[] = [];

  readonly sent: SentRequest[] = [];

  readonly arrivals: Arrival[] = [];

  /** Limits that the upstreams name from now on. */
  naming: Naming = NO_LIMIT;

  readonly #clock: TestClock;

  readonly #options: LimitedFleetOptions;

  readonly #random = new Random(11);

  readonly #handledCalls = new Map<DirectFixture, number>();

  #works: Work[] = [];

  /** Requests without an answer yet. */
  #open: SentRequest[] = [];

  constructor(clock: TestClock, options: LimitedFleetOptions) {
    this.#clock = clock;
    this.#options = options;
    this.entries = this.#names.map((name) => this.#createEntry(name));
    this.exchanges.forEach((exchange) => this.#startExchange(exchange));
  }

  get #names(): readonly string[] {
    return Array.from({ length: this.#options.entryCount }, (_, at) => `entry-${at + 100}`);
  }

  get #addresses() {
    return this.#names.map((name) => ({ name, address: name }));
  }

  get pool(): string {
    return this.#options.pool ?? 'models';
  }

  /** Replaces an entry by a new process of the same name that knows nothing of before. */
  restartEntry(at: number): void {
    const name = this.#names[at] ?? '';
    this.exchanges.get(name)?.stop();
    this.entries = this.entries.with(at, this.#createEntry(name));
    const exchange = this.exchanges.get(name);
    if (exchange) this.#startExchange(exchange);
  }

  /** Cuts the links among entries for good. */
  isolateEntries(): void {
    this.exchanges.forEach((exchange) => exchange.setAddresses([]));
    [...this.links].forEach((link) => link.close('cut by the test'));
  }

  /** Number of messages with news of limits that entries have sent. */
  countLimitMessages(): number {
    return this.links.reduce((sum, { sent }) => sum + sent.filter(hasLimits).length, 0);
  }

  /** Connects all entries again. */
  connectEntries(): void {
    this.exchanges.forEach((exchange) => exchange.setAddresses(this.#addresses));
  }

  /** Cuts the links between the first entries and the others for good. */
  divideEntries(firstCount: number): void {
    const firstNames = this.#names.slice(0, firstCount);
    this.#names.forEach((name) => {
      const isFirst = firstNames.includes(name);
      const others = this.#names.filter((other) => firstNames.includes(other) === isFirst);
      this.exchanges
        .get(name)
        ?.setAddresses(others.map((other) => ({ name: other, address: other })));
    });
    [...this.links].forEach((link) => link.close('cut by the test'));
  }

  /**
   * Runs for a time with requests at random times.
   *
   * @param perS requests per second from all callers together
   * @param chooseEntry chooses the entry of a request; equal shares by default
   */
  async run(
    spanMs: number,
    perS: number,
    chooseEntry: (random: Random) => number = (random) => random.nextInt(this.entries.length),
  ): Promise<void> {
    const endAtMs = performance.now() + spanMs;
    while (performance.now() < endAtMs) {
      if (this.#random.next() < (perS * STEP_MS) / 1_000) this.send(chooseEntry(this.#random));
      // eslint-disable-next-line no-await-in-loop -- the clock advances step by step
      await this.#step();
    }
  }

  send(entryAt: number): SentRequest {
    const entry = this.entries[entryAt];
    if (!entry) throw new Error(`no entry ${entryAt}`);
    const route = this.pool === 'models' ? 'stream' : 'catalogue';
    const id = `${entry.board.name}/${this.sent.length}`;
    const sent: SentRequest = {
      atMs: performance.now(),
      entry: entry.board.name,
      caller: entry.sendRequest(route, { id }),
    };
    this.sent.push(sent);
    this.#open.push(sent);
    return sent;
  }

  stop(): void {
    this.exchanges.forEach((exchange) => exchange.stop());
  }

  /** Largest number of arrivals at an upstream in any window within a time span. */
  readPeak(upstream: string, fromMs: number, toMs = Number.POSITIVE_INFINITY): number {
    const atMs = this.arrivals
      .filter((arrival) => arrival.upstream === upstream)
      .map((arrival) => arrival.atMs)
      .filter((each) => each >= fromMs && each < toMs);
    return atMs.reduce((peak, startMs) => {
      const count = atMs.filter((each) => each >= startMs && each < startMs + WINDOW_MS).length;
      return Math.max(peak, count);
    }, 0);
  }

  /** Arrivals at an upstream per second in a time span. */
  readRate(upstream: string, fromMs: number, toMs: number): number {
    const count = this.arrivals.filter(
      ({ upstream: id, atMs }) => id === upstream && atMs >= fromMs && atMs < toMs,
    ).length;
    return (count * 1_000) / (toMs - fromMs);
  }

  /** Part of the requests sent in a time span that were answered in full. */
  readServed(fromMs: number, toMs: number): number {
    const sent = this.sent.filter(({ atMs }) => atMs >= fromMs && atMs < toMs);
    const served = sent.filter(({ caller }) => caller.ends[0] === 'end');
    return served.length / Math.max(1, sent.length);
  }

  #createEntry(name: string): DirectFixture {
    const seed = Number(name.slice('entry-'.length));
    const entry = new DirectFixture(seed, undefined, name);
    const { board } = entry;
    board.entryCount = this.#options.entryCount;
    entry.addUpstreams(this.pool, this.#options.upstreamCount);
    const dialer = createPairedDialer((address) => this.exchanges.get(address), this.links);
    const telemetry = { log: new SilentLog(), metrics: new CountingMetrics() };
    this.exchanges.set(name, new LoadExchange({ board, dialer, ...telemetry }));
    return entry;
  }

  #startExchange(exchange: LoadExchange): void {
    exchange.start();
    exchange.setAddresses(this.#addresses);
  }

  async #step(): Promise<void> {
    this.entries.forEach((entry) => {
      const from = this.#handledCalls.get(entry) ?? 0;
      entry.calls.slice(from).forEach((call) => this.#takeCall(entry, call));
      this.#handledCalls.set(entry, entry.calls.length);
    });
    [...this.#works].forEach((work) => this.#advance(work));
    this.#works = this.#works.filter(({ call }) => call.isOpen);
    this.#noteRefusals();
    await this.#clock.tickAsync(STEP_MS);
  }

  #noteRefusals(): void {
    const nowMs = performance.now();
    this.#open = this.#open.filter((sent) => {
      if (!sent.caller.refusal) return sent.caller.ends.length === 0;
      Object.assign(sent, { refusedAfterMs: nowMs - sent.atMs });
      return false;
    });
  }

  #takeCall({ board }: DirectFixture, call: FakeCall): void {
    const nowMs = performance.now();
    this.arrivals.push({ upstream: call.call.upstream.id, entry: board.name, atMs: nowMs });
    this.#works.push({ call, sentAtMs: nowMs, hasHead: false });
  }

  #advance(work: Work): void {
    const { call, sentAtMs, hasHead } = work;
    const ageMs = performance.now() - sentAtMs;
    if (!hasHead && ageMs >= FIRST_OUTPUT_MS) {
      Object.assign(work, { hasHead: true });
      call.head({ requestLimit: this.naming(call.call.upstream.id) });
      if (this.pool === 'models') call.sendEvents(Number(call.call.resumeAfterId ?? 0) + 1);
    }
    if (call.isOpen && ageMs >= ANSWER_MS) call.end();
  }
}
