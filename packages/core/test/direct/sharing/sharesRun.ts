/**
 * Replays the load of many workspaces against several linked entries under the fake clock.
 *
 * The sizes of the workspaces follow a power law. Each engine has a fixed number of slots, and a
 * request holds one for a first event after 80 ms and a further event every 100 ms. A refused
 * caller returns once, after the Retry-After delay, unless its workspace repeats requests at once.
 */
import { LoadExchange } from '../../../src/direct/loadExchange.js';
import type { EngineCosts } from '../../../src/direct/passModel.js';
import { RouteTable } from '../../../src/direct/routeTable.js';
import type { RequestSize } from '../../../src/model/requestSize.js';
import { CountingMetrics } from '../../../src/ports/countingMetrics.js';
import { Random } from '../../../src/ports/random.js';
import { SilentLog } from '../../../src/ports/silentLog.js';
import type { FakeCaller } from '../../entry/fakeCaller.js';
import { CONTENT, DEADLINE_MS, DirectFixture, type TestClock } from '../directFixture.js';
import type { FakeCall } from '../fakeCall.js';
import { createPairedDialer, type PairedLink } from '../pairedLinks.js';

import {
  EVENT_MS,
  FIRST_EVENT_MS,
  MEAN_EVENTS,
  SLOTS,
  SlotEngine,
  TOKENS_PER_EVENT,
} from './slotEngine.js';

export const WORKSPACES = 24;

const SIZE_EXPONENT = 1.2;
const UPSTREAMS = 12;
const TARGET_MS = 400;
const STEP_MS = 5;

/** Requests per second that hold all slots. */
const CAPACITY_PER_S =
  (UPSTREAMS * SLOTS * 1_000) / (FIRST_EVENT_MS + (MEAN_EVENTS - 1) * EVENT_MS);

const SIZES = Array.from({ length: WORKSPACES }, (_, at) => (at + 1) ** -SIZE_EXPONENT);
const SIZES_SUM = SIZES.reduce((sum, size) => sum + size, 0);

/** Costs by which the sizes of requests are weighed; passes are far below the target of pauses. */
const COSTS: EngineCosts = {
  stepMs: 20,
  decodeMs: 0.5,
  contextMsPerKTokens: 0,
  prefillTokensPerMs: 61.2,
  stepsPerPass: 5,
  promptTokens: 835,
  answerTokens: MEAN_EVENTS * TOKENS_PER_EVENT,
};

const PAUSE_TARGET_MS = 400;

/** How one workspace departs from the others. */
export interface Excess {
  readonly workspace: number;
  /** Factor on its rate. */
  readonly burst: number;
  /** Times that it repeats a refused request at once. */
  readonly repeats: number;
  /** Entry that gets all of its requests; undefined if any does. */
  readonly entry?: number;
}

export interface SharesRunOptions {
  /** Load of all workspaces without the excess, relative to the capacity. */
  readonly load: number;
  readonly entries?: number;
  readonly seed?: number;
  readonly excess?: Excess;
  /** Whether the entries apply shares. */
  readonly isGuarded: boolean;
  /** Requests that are larger than the usual ones by a factor. */
  readonly large?: {
    readonly fraction: number;
    readonly factor: number;
    /** The only workspace that sends them; undefined if all do. */
    readonly workspace?: number;
  };
  readonly weights?: readonly number[];
  /** Number of priorities, which the workspaces have by turns. */
  readonly priorities?: number;
}

/** One request of a caller, with all of its attempts. */
interface Journey {
  readonly workspace: number;
  readonly entry: number;
  readonly startedAtMs: number;
  readonly events: number;
  readonly isLarge: boolean;
  caller: FakeCaller;
  attempts: number;
  returnAtMs: number | undefined;
  firstEventMs: number | undefined;
}

/** Results of one workspace. */
export interface Tally {
  readonly offered: number;
  readonly onTime: number;
  readonly served: number;
}

function isServed({ caller }: Journey): boolean {
  return caller.ends[0] === 'end';
}

function tally(journeys: readonly Journey[]): Tally {
  const offered = Math.max(1, journeys.length);
  const served = journeys.filter(isServed);
  const onTime = served.filter(({ firstEventMs = Infinity }) => firstEventMs <= TARGET_MS);
  return { offered, onTime: onTime.length / offered, served: served.length / offered };
}

/** Entries, engines and callers. */
export class SharesRun {
  readonly entries: readonly DirectFixture[];

  readonly exchanges: readonly LoadExchange[];

  readonly links: PairedLink[] = [];

  readonly #options: SharesRunOptions;

  readonly #clock: TestClock;

  readonly #random: Random;

  readonly #journeys: Journey[] = [];

  #open: Journey[] = [];

  readonly #handledCalls: number[];

  readonly #engines = new Map<string, SlotEngine>();

  constructor(clock: TestClock, options: SharesRunOptions) {
    const { entries = 4, seed = 1 } = options;
    this.#options = options;
    this.#clock = clock;
    this.#random = new Random(seed + 100);
    const names = Array.from({ length: entries }, (_, at) => `entry-${at}`);
    this.entries = names.map((name, at) => this.#createEntry(name, at + seed));
    this.#handledCalls = names.map(() => 0);
    const dialer = createPairedDialer((name) => this.exchanges[names.indexOf(name)], this.links);
    this.exchanges = this.entries.map(
      ({ board }) =>
        new LoadExchange({ board, dialer, log: new SilentLog(), metrics: new CountingMetrics() }),
    );
    this.exchanges.forEach((exchange) => {
      exchange.start();
      exchange.setAddresses(names.map((name) => ({ name, address: name })));
    });
  }

  #createEntry(name: string, seed: number): DirectFixture {
    const { entries = 4, isGuarded, weights, large, priorities } = this.#options;
    const fixture = new DirectFixture(seed, undefined, name);
    fixture.board.entryCount = entries;
    fixture.addUpstreams('models', UPSTREAMS, SLOTS);
    const table = new RouteTable({
      ...CONTENT,
      version: CONTENT.version + 1,
      routes: CONTENT.routes.map((route) => ({ ...route, pauseTargetMs: PAUSE_TARGET_MS })),
      pools: CONTENT.pools.map(({ engine, ...pool }) => ({
        ...pool,
        coldPerS: 0,
        engine: engine && large ? { ...engine, costs: COSTS } : engine,
      })),
      workspaces: SIZES.map((_, at) => ({
        name: `workspace-${at}`,
        keys: [`key-${at}`],
        priority: priorities === undefined ? undefined : at % priorities,
        weight: weights?.[at],
      })),
    });
    fixture.board.replaceTable(isGuarded ? table : Object.assign(table, { isShared: false }));
    return fixture;
  }

  async run(spanMs: number): Promise<void> {
    const endAtMs = performance.now() + spanMs;
    while (performance.now() < endAtMs) {
      SIZES.forEach((size, workspace) => this.#arrive(workspace, size / SIZES_SUM));
      this.#open.forEach((journey) => this.#returnIfDue(journey));
      // eslint-disable-next-line no-await-in-loop -- the clock advances step by step
      await this.#step();
    }
  }

  stop(): void {
    this.exchanges.forEach((exchange) => exchange.stop());
  }

  /** Results of the requests that arrived in a time span, by workspace. */
  readWorkspaces(fromMs: number, toMs: number): readonly Tally[] {
    const journeys = this.#listBetween(fromMs, toMs);
    return SIZES.map((_, at) => tally(journeys.filter(({ workspace }) => workspace === at)));
  }

  /** Results of all workspaces together but one. */
  readOthers(excluded: number | undefined, fromMs: number, toMs: number): Tally {
    return tally(this.#listBetween(fromMs, toMs).filter(({ workspace }) => workspace !== excluded));
  }

  /** Results of the large requests. */
  readLarge(fromMs: number, toMs: number): Tally {
    return tally(this.#listBetween(fromMs, toMs).filter(({ isLarge }) => isLarge));
  }

  #listBetween(fromMs: number, toMs: number): readonly Journey[] {
    return this.#journeys.filter(({ startedAtMs }) => startedAtMs >= fromMs && startedAtMs < toMs);
  }

  #arrive(workspace: number, share: number): void {
    const { load, excess, large } = this.#options;
    const isExcess = excess?.workspace === workspace;
    const burst = isExcess ? excess.burst : 1;
    const perStep = (load * CAPACITY_PER_S * share * burst * STEP_MS) / 1_000;
    if (this.#random.next() >= perStep) return;
    const anyEntry = this.#random.nextInt(this.entries.length);
    const entry = (isExcess ? excess.entry : undefined) ?? anyEntry;
    const isSender = large?.workspace === undefined || large.workspace === workspace;
    const isLarge = this.#random.next() < (large?.fraction ?? 0) && isSender;
    const events = Math.round(MEAN_EVENTS * (isLarge ? (large?.factor ?? 1) : 1));
    const size: RequestSize = {
      promptTokens: COSTS.promptTokens * (isLarge ? (large?.factor ?? 1) : 1),
      answerTokensMax: events * TOKENS_PER_EVENT,
      answerTokensHint: events * TOKENS_PER_EVENT,
    };
    const journey: Journey = {
      workspace,
      entry,
      startedAtMs: performance.now(),
      events,
      isLarge,
      caller: this.#send(workspace, entry, 0, size),
      attempts: 1,
      returnAtMs: undefined,
      firstEventMs: undefined,
    };
    this.#journeys.push(journey);
    this.#open.push(journey);
  }

  #send(workspace: number, entry: number, spentMs: number, size?: RequestSize): FakeCaller {
    const fixture = this.entries[entry];
    if (!fixture) throw new Error('no such entry');
    return fixture.sendRequest('stream', {
      deadlineMs: DEADLINE_MS - spentMs,
      workspaceKey: `key-${workspace}`,
      size,
    });
  }

  #returnIfDue(journey: Journey): void {
    const nowMs = performance.now();
    if (journey.returnAtMs === undefined || journey.returnAtMs > nowMs) return;
    const { workspace, entry, startedAtMs, attempts } = journey;
    Object.assign(journey, {
      caller: this.#send(workspace, entry, nowMs - startedAtMs),
      attempts: attempts + 1,
      returnAtMs: undefined,
    });
  }

  async #step(): Promise<void> {
    this.entries.forEach(({ calls }, at) => {
      calls.slice(this.#handledCalls[at]).forEach((call) => this.#serve(call));
      this.#handledCalls[at] = calls.length;
    });
    await this.#clock.tickAsync(STEP_MS);
    this.#open = this.#open.filter((journey) => this.#observe(journey));
  }

  #serve(call: FakeCall): void {
    const { id } = call.call.upstream;
    const engine = this.#engines.get(id) ?? new SlotEngine();
    this.#engines.set(id, engine);
    engine.serve(call);
  }

  /** @returns whether the request can still change */
  #observe(journey: Journey): boolean {
    const { caller, startedAtMs, attempts, workspace, returnAtMs } = journey;
    const nowMs = performance.now();
    if (caller.text !== '' && journey.firstEventMs === undefined) {
      Object.assign(journey, { firstEventMs: nowMs - startedAtMs });
    }
    if (caller.ends[0] === 'end' || returnAtMs !== undefined) return returnAtMs !== undefined;
    if (!caller.refusal) return true;
    const { excess } = this.#options;
    const repeats = excess?.workspace === workspace ? excess.repeats : 0;
    if (attempts > Math.max(1, repeats)) return false;
    const delayMs = repeats > 0 ? STEP_MS : caller.refusal.retryAfterMs;
    Object.assign(journey, { returnAtMs: nowMs + delayMs });
    return true;
  }
}
