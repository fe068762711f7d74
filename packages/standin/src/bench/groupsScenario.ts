/** One run of the group bench: a policy under a scenario, window by window. */
import { countLoads, isMapComplete, type ExpertMap } from '@radishbay/core/groups/expertMap.js';
import { placeExperts, chooseReplicaCounts } from '@radishbay/core/groups/initialPlacement.js';
import type { PlanOptions } from '@radishbay/core/groups/layerPlanner.js';
import { PlacementPlanner } from '@radishbay/core/groups/placementPlanner.js';
import { StragglerDetector, type RankTiming } from '@radishbay/core/groups/stragglerDetector.js';

import { LoadModel, type LoadOptions, type StepTimes } from '../group/loadModel.js';

export enum Policy {
  Never = 'never',
  FullReplan = 'full-replan',
  Incremental = 'this',
}

export enum Scenario {
  Drift = 'slow drift',
  Change = 'sudden change',
  Straggler = 'straggler',
  Both = 'change + straggler',
}

export interface RunOptions {
  readonly load: LoadOptions;
  readonly plan: PlanOptions;
  readonly windows: number;
  readonly stepsPerWindow: number;
  /** Steps drawn in a window; each stands for its part of the window. */
  readonly drawnSteps: number;
  readonly expertBytes: number;
  readonly storeBytesPerSecond: number;
  /** Stall of one switch. */
  readonly stallMs: number;
  /** Expert replicas that a rank can hold beside those in force. */
  readonly spareExperts: number;
  readonly halfLifeWindows: number;
}

export interface RunFigures {
  /** Mean over steps of the slowest ranks' time against the mean rank's. */
  readonly skew: number;
  /** The same for the best placement that could be, knowing each step's tokens. */
  readonly skewBound: number;
  /** 95th percentile of rank times in units of their layer's mean. */
  readonly p95: number;
  readonly tokensPerSecond: number;
  readonly movedBytes: number;
  readonly switches: number;
  readonly stallMs: number;
}

const MS_PER_SECOND = 1000;
const STRAGGLER_SPEED = 0.7;
const STRAGGLER_RANK = 5;

const STRAGGLER_LIMITS = {
  slowAbove: 1.12,
  normalBelow: 1.05,
  raiseWindows: 2,
  lowerWindows: 4,
  leaveAbove: 3,
  smoothing: 0.5,
};

interface Pending {
  readonly map: ExpertMap;
  readonly loads: number;
  readonly readyAtMs: number;
}

function sum(values: readonly number[]): number {
  return values.reduce((all, value) => all + value, 0);
}

function mean(values: readonly number[]): number {
  return sum(values) / Math.max(1, values.length);
}

/** Runs one policy under one scenario. */
export class GroupsScenario {
  readonly #options: RunOptions;

  readonly #policy: Policy;

  readonly #model: LoadModel;

  readonly #stragglers: StragglerDetector;

  readonly #rankTimes: number[] = [];

  readonly #skews: number[] = [];

  readonly #bounds: number[] = [];

  #map: ExpertMap;

  #pending: Pending | undefined;

  #tokens: Float64Array | undefined;

  #nowMs = 0;

  #steps = 0;

  #loads = 0;

  #switches = 0;

  /** Time of each round of planning and of each slice. */
  readonly planTimesMs: number[] = [];

  readonly sliceTimesMs: number[] = [];

  constructor(policy: Policy, options: RunOptions) {
    const { shape } = options.load;
    this.#policy = policy;
    this.#options = options;
    this.#model = new LoadModel(options.load);
    this.#stragglers = new StragglerDetector(shape.ranks, {
      ...STRAGGLER_LIMITS,
      batchMs: options.load.batchMs * shape.layers,
      tokenMs: options.load.tokenMs,
    });
    const slots = placeExperts(shape, this.#model.expectedTokens, this.#model.speeds);
    this.#map = { version: 1, shape, slots };
  }

  /** Runs all windows. */
  run(scenario: Scenario): RunFigures {
    Array.from({ length: this.#options.windows }, (_, window) => window).forEach((window) => {
      this.#disturb(scenario, window);
      this.#runWindow();
    });
    const times = [...this.#rankTimes].sort((first, second) => first - second);
    const { load, expertBytes, stallMs } = this.#options;
    return {
      skew: mean(this.#skews),
      skewBound: mean(this.#bounds),
      p95: times[Math.floor(times.length * 0.95)] ?? 0,
      tokensPerSecond:
        (this.#steps * load.requestsPerRank * load.shape.ranks * MS_PER_SECOND) / this.#nowMs,
      movedBytes: this.#loads * expertBytes,
      switches: this.#switches,
      stallMs: this.#switches * stallMs,
    };
  }

  #disturb(scenario: Scenario, window: number): void {
    const { windows, load } = this.#options;
    const isChange = scenario === Scenario.Change || scenario === Scenario.Both;
    const isStraggler = scenario === Scenario.Straggler || scenario === Scenario.Both;
    if (isChange && window === Math.floor(windows / 3)) {
      const half = Math.floor(load.shape.layers / 2);
      Array.from({ length: half }, (_, layer) => layer).forEach((layer) =>
        this.#model.shuffle(layer),
      );
    }
    if (isStraggler && window === Math.floor(windows / 4)) {
      this.#model.speeds[STRAGGLER_RANK] = STRAGGLER_SPEED;
    }
    this.#model.drift();
  }

  #runWindow(): void {
    this.#applyPending();
    const { drawnSteps, stepsPerWindow } = this.#options;
    const expected = this.#model.expectedTokens;
    const steps = Array.from({ length: drawnSteps }, () =>
      this.#model.drawStep(this.#map, expected),
    );
    steps.forEach((step) => this.#record(step));
    const stepMs = mean(steps.map((step) => sum(step.layerMs.map((ms) => Math.max(...ms)))));
    this.#nowMs += stepMs * stepsPerWindow;
    this.#steps += stepsPerWindow;
    this.#measure(steps);
    this.#plan();
  }

  #applyPending(): void {
    if (!this.#pending || this.#pending.readyAtMs > this.#nowMs) return;
    this.#map = this.#pending.map;
    this.#nowMs += this.#options.stallMs;
    this.#switches += 1;
    this.#pending = undefined;
  }

  #record(step: StepTimes): void {
    const slowest = sum(step.layerMs.map((ms) => Math.max(...ms)));
    this.#skews.push(slowest / sum(step.layerMs.map(mean)));
    this.#bounds.push(this.#findBound(step) / sum(step.layerMs.map(mean)));
    step.layerMs.forEach((ms) => {
      const average = mean(ms);
      ms.forEach((value) => this.#rankTimes.push(value / average));
    });
  }

  /** Time of the step below which no placement with these slots gets. */
  #findBound(step: StepTimes): number {
    const { shape, tokenMs, batchMs, requestsPerRank } = this.#options.load;
    const slots = shape.ranks * shape.slotsPerRank;
    const speed = sum(this.#model.speeds);
    const fastest = Math.max(...this.#model.speeds);
    const work = shape.ranks * requestsPerRank * batchMs;
    return sum(
      step.layerMs.map((_, layer) => {
        const from = layer * shape.experts;
        const tokens = [...step.expertTokens.subarray(from, from + shape.experts)];
        const counts = chooseReplicaCounts(tokens, slots, shape.ranks);
        const largest = Math.max(...tokens.map((count, expert) => count / (counts[expert] ?? 1)));
        const even = (work + sum(tokens) * tokenMs) / speed;
        return Math.max(even, (largest * tokenMs) / fastest);
      }),
    );
  }

  #measure(steps: readonly StepTimes[]): void {
    const { shape } = this.#options.load;
    const keep = this.#tokens ? 0.5 ** (1 / this.#options.halfLifeWindows) : 0;
    const measured = steps.map((step) => step.expertTokens);
    this.#tokens = Float64Array.from(measured[0] ?? [], (_, at) => {
      const average = mean(measured.map((tokens) => tokens[at] ?? 0));
      return keep * (this.#tokens?.[at] ?? 0) + (1 - keep) * average;
    });
    const { batches } = this.#model;
    const timings: RankTiming[] = Array.from({ length: shape.ranks }, (_, rank) => {
      const computeMs = mean(steps.map((step) => sum(step.layerMs.map((ms) => ms[rank] ?? 0))));
      const tokens = mean(steps.map((step) => this.#model.countTokens(rank, step)));
      return { rank, computeMs, batch: batches[rank] ?? 0, tokens };
    });
    this.#stragglers.addWindow(timings, false);
  }

  #plan(): void {
    if (this.#pending || !this.#tokens || this.#policy === Policy.Never) return;
    const slots = this.#policy === Policy.FullReplan ? this.#planFully() : this.#planMoves();
    if (!slots) return;
    const map = { version: this.#map.version + 1, shape: this.#map.shape, slots };
    if (!isMapComplete(map)) throw new Error('a plan left an expert without a replica');
    const loads = sum(countLoads(map, this.#map));
    this.#loads += loads;
    const { expertBytes, storeBytesPerSecond } = this.#options;
    const drawMs = (loads * expertBytes * MS_PER_SECOND) / storeBytesPerSecond;
    this.#pending = { map, loads, readyAtMs: this.#nowMs + drawMs };
  }

  #planFully(): readonly number[] {
    const { shape } = this.#map;
    const speeds = new Array<number>(shape.ranks).fill(1);
    return placeExperts(shape, this.#tokens ?? new Float64Array(), speeds);
  }

  #planMoves(): readonly number[] | undefined {
    const { health } = this.#stragglers;
    this.#model.requestWeights = health.map((rank) => rank.requestWeight);
    const speeds = health.map((rank) => rank.speed);
    const spareExperts = health.map(() => this.#options.spareExperts);
    const tokens = this.#tokens ?? new Float64Array();
    const planner = new PlacementPlanner(
      { map: this.#map, tokens, speeds, spareExperts },
      this.#options.plan,
    );
    const startMs = performance.now();
    while (!planner.isDone) {
      const sliceStartMs = performance.now();
      planner.step();
      this.sliceTimesMs.push(performance.now() - sliceStartMs);
    }
    const plan = planner.finish();
    this.planTimesMs.push(performance.now() - startMs);
    return plan?.slots;
  }
}
