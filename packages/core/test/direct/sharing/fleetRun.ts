/**
 * Replays a load of several priorities against several linked entries that share one group of
 * engines, under the fake clock.
 *
 * Arrivals are open-loop Poisson processes with a fixed seed, spread unevenly over the entries. A
 * refused caller retries once, through any entry, after the Retry-After delay.
 */
import { LoadExchange } from '../../../src/direct/loadExchange.js';
import { CountingMetrics } from '../../../src/ports/countingMetrics.js';
import { Random } from '../../../src/ports/random.js';
import { SilentLog } from '../../../src/ports/silentLog.js';
import type { FakeCaller } from '../../entry/fakeCaller.js';
import { BASE_ROUTE, CONTENT, DirectFixture, type TestClock } from '../directFixture.js';
import { DEFAULT_COSTS, GroupModel } from '../groupModel.js';
import { createPairedDialer, type PairedLink } from '../pairedLinks.js';

const SLOTS = 7;

const STEP_MS = 5;
const PAUSE_TARGET_MS = 150;
const MEAN_EVENTS = 19;
const DEADLINE_MS = 10_000;

/** Expert load of the most loaded rank that makes a pass of full engines take 120 ms. */
const LOADED_SKEW = 2.4;

/** Range of the callers' deadlines, relative to the longest. */
const PATIENCE_SPREAD = 0.15;

/** One kind of request. */
export interface RequestKind {
  readonly priority: number;
  readonly targetMs: number;
  readonly promptTokens: number;
}

/** Kinds of the users' data sheet. */
export const KINDS: readonly RequestKind[] = [
  { priority: 0, targetMs: 500, promptTokens: 714 },
  { priority: 1, targetMs: 500, promptTokens: 1_000 },
  { priority: 2, targetMs: 1_000, promptTokens: 827 },
];

/** Arrivals per second of each kind. */
export type Rates = readonly number[];

/** Caller that sends a request, and another one if that is refused. */
interface Client {
  readonly kind: number;
  readonly firstAtMs: number;
  readonly deadlineMs: number;
  caller: FakeCaller;
  attempts: number;
  retryAtMs: number;
  firstEventMs: number | undefined;
  eventAtMs: number;
  longestPauseMs: number;
  seenLength: number;
  isOver: boolean;
  isServed: boolean;
}

/** Results of the clients of one kind. */
export interface KindResult {
  readonly onTime: number;
  readonly served: number;
  readonly refusedFirst: number;
  readonly refusedTwice: number;
}

function createContent() {
  return {
    ...CONTENT,
    routes: KINDS.map(({ priority, targetMs }) => ({
      ...BASE_ROUTE,
      name: `class-${priority}`,
      pathPrefix: `/class-${priority}/`,
      priority,
      targetMs,
      timeoutMs: DEADLINE_MS,
      pauseTargetMs: PAUSE_TARGET_MS,
    })),
    pools: [{ name: 'models', coldPerS: 0, engine: { slots: SLOTS, group: undefined } }],
  };
}

function isOnTime({ kind, isServed, firstEventMs, firstAtMs, longestPauseMs }: Client): boolean {
  const targetMs = KINDS[kind]?.targetMs ?? 0;
  if (!isServed || firstEventMs === undefined) return false;
  return firstEventMs - firstAtMs <= targetMs && longestPauseMs <= PAUSE_TARGET_MS;
}

/** Records what a client has received. */
function observe(client: Client): void {
  const { caller } = client;
  const nowMs = performance.now();
  if (caller.text.length !== client.seenLength) {
    const pauseMs = client.firstEventMs === undefined ? 0 : nowMs - client.eventAtMs;
    Object.assign(client, {
      firstEventMs: client.firstEventMs ?? nowMs,
      longestPauseMs: Math.max(client.longestPauseMs, pauseMs),
      eventAtMs: nowMs,
      seenLength: caller.text.length,
    });
  }
  if (caller.ends.length === 0) return;
  if (caller.ends[0] === 'end') Object.assign(client, { isOver: true, isServed: true });
  else if (client.attempts > 1) Object.assign(client, { isOver: true });
  else if (client.retryAtMs === Number.POSITIVE_INFINITY) {
    Object.assign(client, { retryAtMs: nowMs + (caller.refusal?.retryAfterMs ?? 0) });
  }
}

/** Runs arrivals against linked entries and one group. */
export class FleetRun {
  readonly entries: readonly DirectFixture[];

  readonly links: PairedLink[] = [];

  readonly group: GroupModel;

  readonly #clock: TestClock;

  readonly #random: Random;

  readonly #exchanges: readonly LoadExchange[];

  readonly #clients: Client[] = [];

  readonly #handledCalls: number[];

  #open: Client[] = [];

  #passEndMs = 0;

  /** @param ranks engines of the group; the users' data sheet has 72 */
  constructor(clock: TestClock, entryCount: number, ranks = 36, seed = 11) {
    this.group = new GroupModel(ranks, SLOTS, LOADED_SKEW, DEFAULT_COSTS);
    this.#clock = clock;
    this.#random = new Random(seed);
    const names = Array.from({ length: entryCount }, (_, at) => `entry-${at}`);
    const content = createContent();
    const costs = { ...DEFAULT_COSTS, answerTokens: 95 };
    this.entries = names.map((name, at) => new DirectFixture(seed + at, costs, name, content));
    const byName = new Map<string, LoadExchange>();
    const dialer = createPairedDialer((name) => byName.get(name), this.links);
    this.#exchanges = this.entries.map((entry) => {
      const { board } = entry;
      board.entryCount = entryCount;
      entry.addUpstreams('models', ranks, SLOTS);
      const metrics = new CountingMetrics();
      const exchange = new LoadExchange({ board, dialer, log: new SilentLog(), metrics });
      byName.set(board.name, exchange);
      return exchange;
    });
    this.#exchanges.forEach((exchange) => {
      exchange.start();
      exchange.setAddresses(names.map((name) => ({ name, address: name })));
    });
    this.#handledCalls = names.map(() => 0);
  }

  stop(): void {
    this.#exchanges.forEach((exchange) => exchange.stop());
  }

  async run(rates: Rates, spanMs: number): Promise<void> {
    const endAtMs = performance.now() + spanMs;
    while (performance.now() < endAtMs) {
      rates.forEach((perS, kind) => {
        if (this.#random.next() < (perS * STEP_MS) / 1_000) this.#addClient(kind);
      });
      this.#sendDueRetries();
      // eslint-disable-next-line no-await-in-loop -- the clock advances step by step
      await this.#step();
    }
  }

  /** Results by kind of the clients that first arrived within a time span. */
  readResults(fromMs: number, toMs: number): readonly KindResult[] {
    return KINDS.map((_, kind) => {
      const clients = this.#clients.filter(
        (each) => each.kind === kind && each.firstAtMs >= fromMs && each.firstAtMs < toMs,
      );
      const share = (test: (client: Client) => boolean) =>
        clients.filter(test).length / Math.max(1, clients.length);
      return {
        onTime: share((each) => isOnTime(each)),
        served: share(({ isServed }) => isServed),
        refusedFirst: share(({ attempts, isServed }) => attempts > 1 || !isServed),
        refusedTwice: share(({ isServed, isOver }) => isOver && !isServed),
      };
    });
  }

  #addClient(kind: number): void {
    const deadlineMs = DEADLINE_MS * (1 - PATIENCE_SPREAD * this.#random.next());
    const client: Client = {
      kind,
      firstAtMs: performance.now(),
      deadlineMs,
      caller: this.#sendRequest(kind, deadlineMs),
      attempts: 1,
      retryAtMs: Number.POSITIVE_INFINITY,
      firstEventMs: undefined,
      eventAtMs: 0,
      longestPauseMs: 0,
      seenLength: 0,
      isOver: false,
      isServed: false,
    };
    this.#clients.push(client);
    this.#open.push(client);
  }

  /** Entries get requests in unequal parts. */
  #sendRequest(kind: number, deadlineMs: number): FakeCaller {
    const draw = this.#random.next() ** 1.2;
    const entry = this.entries[Math.floor(draw * this.entries.length)];
    if (!entry) throw new Error('no entry');
    return entry.sendRequest(`class-${KINDS[kind]?.priority ?? 0}`, { deadlineMs });
  }

  #sendDueRetries(): void {
    const nowMs = performance.now();
    this.#open
      .filter(({ retryAtMs }) => retryAtMs <= nowMs)
      .forEach((client) => {
        const leftMs = client.deadlineMs - (nowMs - client.firstAtMs);
        Object.assign(client, {
          caller: this.#sendRequest(client.kind, leftMs),
          attempts: 2,
          retryAtMs: Number.POSITIVE_INFINITY,
        });
      });
  }

  async #step(): Promise<void> {
    this.entries.forEach(({ calls }, at) => {
      for (let next = this.#handledCalls[at] ?? 0; next < calls.length; next += 1) {
        const call = calls[next];
        const kind = KINDS.find(({ priority }) =>
          call?.call.request.path.startsWith(`/class-${priority}/`),
        );
        const size = -Math.log(1 - this.#random.next());
        const tokens = Math.ceil((kind?.promptTokens ?? 0) * Math.min(3, size));
        if (call) this.group.addCall(call, tokens, MEAN_EVENTS);
        this.#handledCalls[at] = next + 1;
      }
    });
    if (performance.now() >= this.#passEndMs) {
      this.group.runPass();
      this.#passEndMs = performance.now() + this.group.passMs;
    }
    await this.#clock.tickAsync(STEP_MS);
    this.#open.forEach(observe);
    this.#open = this.#open.filter(({ isOver }) => !isOver);
  }
}
