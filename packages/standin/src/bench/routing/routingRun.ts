/** One run of the routing bench: entries, upstreams and callers under a fake clock. */
import { install } from '@sinonjs/fake-timers';

import { CountingMetrics } from '@radishbay/core/ports/countingMetrics.js';
import { Random } from '@radishbay/core/ports/random.js';
import type { RoutingPolicy, RoutingQuery } from '@radishbay/core/routing/routingPolicy.js';
import { countEnded, countSent, applyReport } from '@radishbay/core/routing/upstreamState.js';
import type { EntryBoard } from '@radishbay/core/state/entryBoard.js';

import type { BatchCosts } from '../../engine/batch.js';

import { BENCH_POOL, createBoard } from './benchBoard.js';
import { ModelUpstream } from './modelUpstream.js';
import { Workload, type BenchRequest, type WorkloadOptions } from './workload.js';

export interface RoutingScenario {
  readonly name: string;
  readonly upstreams: number;
  readonly limit: number;
  /** Steps of the first upstream take this many times as long. */
  readonly firstSlowdown: number;
  readonly costs: BatchCosts;
  readonly cacheBlocks: number;
  readonly workload: WorkloadOptions;
}

/** Creates the policy of one entry. */
export type PolicyFactory = (random: Random, metrics: CountingMetrics) => RoutingPolicy;

export interface RoutingFigures {
  readonly firstTokensMs: readonly number[];
  readonly gapsMs: readonly number[];
  /** Times from arrival to the end of the answer. */
  readonly answersMs: readonly number[];
  readonly blocksAsked: number;
  readonly blocksHeld: number;
  readonly gateRefusals: number;
  readonly requests: number;
  readonly refused: number;
}

const DOMAINS = 3;

const REPORT_MS = 250;

/** Way to an upstream of the same failure domain, and of another one. */
const NEAR_MS = 1;
const FAR_MS = 2;

const WARM_UP_MS = 8_000;
const RUN_MS = 20_000;
const TICK_MS = 1_000;

const TRIES_MAX = 8;

const CACHE_EVENT_LAG_MS = 300;
const CACHE_EVENT_GAP = 10;

interface Entry {
  readonly board: EntryBoard;
  readonly routing: RoutingPolicy;
}

function nameDomain(index: number): string {
  return `zone-${index % DOMAINS}`;
}

function createQuery(request: BenchRequest, excludedUpstreams: ReadonlySet<string>): RoutingQuery {
  return {
    pool: BENCH_POOL,
    model: undefined,
    prefixHashes: request.prefixHashes,
    excludedUpstreams,
    avoidedDomains: new Set(),
    remainingMs: 60_000,
    isRepeatable: true,
  };
}

function isMeasuredNow(): boolean {
  return Date.now() >= WARM_UP_MS;
}

/** One run. */
export class RoutingRun {
  readonly #upstreams: readonly ModelUpstream[];

  readonly #entries: readonly Entry[];

  readonly #workload: Workload;

  readonly #random: Random;

  readonly #firstTokensMs: number[] = [];

  readonly #gapsMs: number[] = [];

  readonly #answersMs: number[] = [];

  #requests = 0;

  #refused = 0;

  constructor(scenario: RoutingScenario, factory: PolicyFactory, entries: number, seed: number) {
    this.#random = new Random(seed);
    this.#workload = new Workload(new Random(seed + 1_000), scenario.workload);
    this.#upstreams = Array.from({ length: scenario.upstreams }, (_, index) => {
      const slowdown = index === 0 ? scenario.firstSlowdown : 1;
      const cache = {
        capacityBlocks: scenario.cacheBlocks,
        eventLagMs: CACHE_EVENT_LAG_MS,
        gapEvery: CACHE_EVENT_GAP,
      };
      const { limit, costs } = scenario;
      const place = { name: `worker-${index}`, domain: nameDomain(index) };
      return new ModelUpstream({ ...place, limit, slowdown, costs, cache });
    });
    this.#entries = Array.from({ length: entries }, (_, index) => ({
      board: createBoard(nameDomain(index), this.#upstreams, entries - 1),
      routing: factory(new Random(seed + 2_000 + index), new CountingMetrics()),
    }));
  }

  /** Runs all simulated time. */
  static run(
    scenario: RoutingScenario,
    factory: PolicyFactory,
    entries: number,
    seed: number,
  ): RoutingFigures {
    const clock = install({
      now: 0,
      toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date'],
    });
    try {
      const run = new RoutingRun(scenario, factory, entries, seed);
      run.#start();
      while (Date.now() < WARM_UP_MS + RUN_MS) clock.tick(TICK_MS);
      return run.#summarise();
    } finally {
      clock.uninstall();
    }
  }

  #start(): void {
    this.#upstreams.forEach((upstream) => {
      this.#broadcast(upstream);
      const phaseMs = this.#random.next() * REPORT_MS;
      setTimeout(() => setInterval(() => this.#broadcast(upstream), REPORT_MS), phaseMs);
    });
    this.#arriveLater();
  }

  #broadcast(upstream: ModelUpstream): void {
    const report = upstream.report();
    const events = upstream.readCacheEvents();
    this.#entries.forEach(({ board, routing }) => {
      setTimeout(() => {
        const state = board.upstreams.get(upstream.name);
        if (state) applyReport(state, report.report, Date.now());
        routing.applyCacheEvents(events);
      }, NEAR_MS);
    });
  }

  /** Arrivals have a fraction of a millisecond, timers do not: what is left over is kept. */
  #arriveLater(dueMs = Date.now()): void {
    const nextMs = dueMs + this.#workload.drawGapMs();
    setTimeout(() => {
      this.#arrive();
      this.#arriveLater(nextMs);
    }, nextMs - Date.now());
  }

  #arrive(): void {
    const entry = this.#entries[this.#random.nextInt(this.#entries.length)];
    const request = this.#workload.drawRequest();
    if (isMeasuredNow()) this.#requests += 1;
    if (entry) this.#send(entry, request, Date.now(), new Set());
  }

  #send(entry: Entry, request: BenchRequest, arrivedAtMs: number, excluded: Set<string>): void {
    const { board, routing } = entry;
    const query = createQuery(request, excluded);
    const choice = routing.choose(board, query, Date.now());
    const upstream = choice.ok && this.#upstreams.find(({ name }) => name === choice.val);
    if (!upstream || excluded.size >= TRIES_MAX) {
      if (isMeasuredNow()) this.#refused += 1;
      return;
    }
    countSent(board, upstream.name);
    routing.markSent(board, upstream.name, query);
    const wayMs = upstream.domain === board.domain ? NEAR_MS : FAR_MS;
    setTimeout(() => {
      const events = this.#follow(entry, upstream, arrivedAtMs, wayMs);
      if (upstream.submit(request, events)) return;
      setTimeout(() => {
        countEnded(board, upstream.name);
        this.#send(entry, request, arrivedAtMs, excluded.add(upstream.name));
      }, wayMs);
    }, wayMs);
  }

  #follow({ board, routing }: Entry, upstream: ModelUpstream, arrivedAtMs: number, wayMs: number) {
    let lastAtMs = 0;
    const isMeasured = arrivedAtMs >= WARM_UP_MS;
    const onToken = (index: number) => {
      const nowMs = Date.now();
      if (isMeasured && index === 0) this.#firstTokensMs.push(nowMs + wayMs - arrivedAtMs);
      if (isMeasured && index > 0) this.#gapsMs.push(nowMs - lastAtMs);
      lastAtMs = nowMs;
    };
    const onEnd = () => {
      if (isMeasured) this.#answersMs.push(Date.now() + wayMs - arrivedAtMs);
      setTimeout(() => {
        countEnded(board, upstream.name);
        routing.markEnded(board, upstream.name);
      }, wayMs);
    };
    return { onToken, onEnd };
  }

  #summarise(): RoutingFigures {
    const add = (read: (upstream: ModelUpstream) => number) =>
      this.#upstreams.reduce((sum, upstream) => sum + read(upstream), 0);
    return {
      firstTokensMs: this.#firstTokensMs,
      gapsMs: this.#gapsMs,
      answersMs: this.#answersMs,
      blocksAsked: add(({ blocksAsked }) => blocksAsked),
      blocksHeld: add(({ blocksHeld }) => blocksHeld),
      gateRefusals: add(({ refusals }) => refusals),
      requests: this.#requests,
      refused: this.#refused,
    };
  }
}
