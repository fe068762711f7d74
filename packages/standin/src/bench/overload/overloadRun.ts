/** One run of the overload bench: load at a multiple of capacity, then at half of it. */
import { install } from '@sinonjs/fake-timers';

import { QueueAdmission } from '@radishbay/core/limits/queueAdmission.js';
import { CountingMetrics } from '@radishbay/core/ports/countingMetrics.js';
import { Random } from '@radishbay/core/ports/random.js';
import { RetryPolicy } from '@radishbay/core/retry/retryPolicy.js';
import { ForecastRouting } from '@radishbay/core/routing/forecastRouting.js';
import { computeInFlightLimit, applyReport } from '@radishbay/core/routing/upstreamState.js';

import { BENCH_POOL, createBoard } from '../routing/benchBoard.js';
import { ModelUpstream } from '../routing/modelUpstream.js';
import { Workload, type BenchRequest } from '../routing/workload.js';

import { OpenAdmission } from './openAdmission.js';
import { OverloadRequest, type OverloadEnd, type OverloadEntry } from './overloadRequest.js';

export interface OverloadScenario {
  readonly hasAdmission: boolean;
  /** Load for each that the upstreams can answer. */
  readonly load: number;
  readonly entries: number;
  /** Times that a client comes back after a failure. */
  readonly clientRetries: number;
}

export interface OverloadFigures {
  /** Whole answers a second during the load, once it has lasted a while. */
  readonly goodPerSecond: number;
  /** Arrivals a second during the load, those that come back included. */
  readonly offeredPerSecond: number;
  readonly gateRefusals: number;
  /** Time from the fall of the load to the last arrival that got no answer. */
  readonly recoveryMs: number;
  /** Share of first arrivals during the load that got an answer in the end. */
  readonly answeredShare: number;
}

const UPSTREAMS = 4;
const LIMIT = 32;
const COSTS = { maxRunning: 64, stepMs: 20, stepPerSequenceMs: 0.8, prefillPerTokenMs: 0.1 };

/** Whole answers a second that the upstreams give with full batches. */
export const CAPACITY_PER_SECOND = 35;

const QUIET_LOAD = 0.5;
const SETTLE_MS = 10_000;
const LOAD_MS = 30_000;
const QUIET_MS = 30_000;
const REPORT_MS = 250;

/** Time after which a client comes back that was not told when. */
const UNTOLD_RETURN_MS = 100;

const WORKSPACES = 10;

/** Whether the load lasts, and what came before it has ended. */
function isLoadedNow(): boolean {
  return Date.now() >= SETTLE_MS + LOAD_MS / 3 && Date.now() < SETTLE_MS + LOAD_MS;
}

/** One run. */
export class OverloadRun {
  readonly #scenario: OverloadScenario;

  readonly #random: Random;

  readonly #workload: Workload;

  readonly #upstreams: readonly ModelUpstream[];

  readonly #entries: readonly OverloadEntry[];

  #requests = 0;

  #offered = 0;

  #good = 0;

  #lastFailureAtMs = 0;

  #firstArrivals = 0;

  #firstAnswered = 0;

  private constructor(scenario: OverloadScenario, seed: number) {
    this.#scenario = scenario;
    this.#random = new Random(seed);
    const tokens = { tokensMin: 20, tokensMax: 140, hasPrompts: false };
    this.#workload = new Workload(new Random(seed + 1), { requestsPerSecond: 1, ...tokens });
    this.#upstreams = Array.from({ length: UPSTREAMS }, (_, index) => {
      const place = { name: `worker-${index}`, domain: `zone-${index % 3}` };
      const cache = { capacityBlocks: 1, eventLagMs: 0, gapEvery: 0 };
      return new ModelUpstream({ ...place, limit: LIMIT, slowdown: 1, costs: COSTS, cache });
    });
    this.#entries = Array.from({ length: scenario.entries }, (_, index) =>
      this.#createEntry(index, seed),
    );
  }

  /** Runs all simulated time. */
  static async run(scenario: OverloadScenario, seed: number): Promise<OverloadFigures> {
    const clock = install({
      now: 0,
      toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date'],
    });
    try {
      const run = new OverloadRun(scenario, seed);
      run.#start();
      await clock.tickAsync(SETTLE_MS + LOAD_MS + QUIET_MS);
      return run.#summarise();
    } finally {
      clock.uninstall();
    }
  }

  #createEntry(index: number, seed: number): OverloadEntry {
    const random = new Random(seed + 10 + index);
    const board = createBoard(`zone-${index % 3}`, this.#upstreams, this.#scenario.entries - 1);
    const admission = this.#scenario.hasAdmission ? new QueueAdmission() : new OpenAdmission();
    return {
      board,
      routing: new ForecastRouting({ random, metrics: new CountingMetrics() }),
      admission,
      retries: new RetryPolicy(random),
      upstreams: new Map(this.#upstreams.map((upstream) => [upstream.name, upstream])),
      updateRoom: () =>
        admission.setInFlightLimit(BENCH_POOL, computeInFlightLimit(board, BENCH_POOL) ?? 0),
    };
  }

  #start(): void {
    this.#upstreams.forEach((upstream) => {
      this.#broadcast(upstream);
      setInterval(() => this.#broadcast(upstream), REPORT_MS);
    });
    this.#arriveLater(0);
  }

  #broadcast(upstream: ModelUpstream): void {
    const { report } = upstream.report();
    this.#entries.forEach(({ board, updateRoom }) => {
      const state = board.upstreams.get(upstream.name);
      if (state) applyReport(state, report, Date.now());
      updateRoom();
    });
  }

  #arriveLater(dueMs: number): void {
    const isLoaded = dueMs >= SETTLE_MS && dueMs < SETTLE_MS + LOAD_MS;
    const load = isLoaded ? this.#scenario.load : QUIET_LOAD;
    const gapMs = (-Math.log(1 - this.#random.next()) * 1_000) / (CAPACITY_PER_SECOND * load);
    setTimeout(
      () => {
        const isMeasured = isLoadedNow();
        if (isMeasured) this.#firstArrivals += 1;
        this.#arrive(this.#workload.drawRequest(), 0, isMeasured);
        this.#arriveLater(dueMs + gapMs);
      },
      dueMs + gapMs - Date.now(),
    );
  }

  #arrive(work: BenchRequest, returns: number, isMeasured: boolean): void {
    const entry = this.#entries[this.#random.nextInt(this.#entries.length)];
    if (!entry) return;
    if (isLoadedNow()) this.#offered += 1;
    this.#requests += 1;
    const arrivedAtMs = Date.now();
    const request = new OverloadRequest(entry, work, (end) => {
      this.#readEnd(end, arrivedAtMs, isMeasured);
      if (!end.isAnswered) this.#returnLater(work, returns, isMeasured, end.retryAfterMs);
    });
    entry.updateRoom();
    request.start(`r${this.#requests}`, `workspace-${this.#random.nextInt(WORKSPACES)}`);
  }

  #readEnd({ isAnswered }: OverloadEnd, arrivedAtMs: number, isMeasured: boolean): void {
    if (isAnswered && isLoadedNow()) this.#good += 1;
    if (isAnswered && isMeasured) this.#firstAnswered += 1;
    if (!isAnswered) this.#lastFailureAtMs = Math.max(this.#lastFailureAtMs, arrivedAtMs);
  }

  #returnLater(
    work: BenchRequest,
    returns: number,
    isMeasured: boolean,
    retryAfterMs: number,
  ): void {
    if (returns >= this.#scenario.clientRetries) return;
    const delayMs = retryAfterMs || UNTOLD_RETURN_MS;
    setTimeout(() => this.#arrive(work, returns + 1, isMeasured), delayMs);
  }

  #summarise(): OverloadFigures {
    const measuredS = ((LOAD_MS / 3) * 2) / 1_000;
    return {
      goodPerSecond: this.#good / measuredS,
      offeredPerSecond: this.#offered / measuredS,
      gateRefusals: this.#upstreams.reduce((sum, { refusals }) => sum + refusals, 0),
      recoveryMs: Math.max(0, this.#lastFailureAtMs - SETTLE_MS - LOAD_MS),
      answeredShare: this.#firstAnswered / this.#firstArrivals,
    };
  }
}
