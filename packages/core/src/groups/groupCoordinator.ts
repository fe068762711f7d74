/**
 * Coordinates the expert map of one group, for as long as this process holds the lease.
 *
 * Each round checks the lease, plans incrementally from the measured load, reserves a version for
 * the new map by conditional update, and rolls the map out. After taking the lease, and after any
 * failure, it first reads all ranks and brings them to one map. Operators can query the map and the
 * last plan with its gain and cost, and can pause and resume rebalancing.
 */
import { LogLevel, type Log } from '../ports/log.js';
import type { Metrics } from '../ports/metrics.js';
import type { ObjectStore } from '../ports/objectStore.js';

import { ExpertLoad, type ExpertLoadOptions, type RankLoadReport } from './expertLoad.js';
import type { ExpertMap, GroupShape } from './expertMap.js';
import { placeExperts } from './initialPlacement.js';
import { GroupRepair } from './groupRepair.js';
import type { PlanOptions } from './layerPlanner.js';
import type { LeaseView } from './leaseView.js';
import { MapRecord } from './mapRecord.js';
import { MapRollout } from './mapRollout.js';
import { PlacementPlanner, type Plan } from './placementPlanner.js';
import type { RankControl } from './rankControl.js';
import {
  StragglerDetector,
  type RankHealth,
  type RankTiming,
  type StragglerOptions,
} from './stragglerDetector.js';

const LOG_PART = 'groups';

/** Moves tried in one step of the control loop: about 2 ms for the largest maps. */
const MOVES_PER_STEP = 16;

/** Most versions that one order discards; earlier orders have discarded the older ones. */
const MAX_DISCARDS = 16;

/** Times that an unanswered order is sent again. */
const MAX_ORDER_RETRIES = 3;

export enum CoordinatorPhase {
  /** Does not hold the lease. */
  Standby = 'standby',
  /** Reads all ranks and brings them to one map. */
  Repairing = 'repairing',
  /** Idle until the next plan or check of the ranks is due. */
  Watching = 'watching',
  /** Computes a new map, a few moves in each step of the control loop. */
  Planning = 'planning',
  /** Stages a new map and switches all ranks to it. */
  RollingOut = 'rolling-out',
}

export interface GroupCoordinatorOptions {
  readonly group: string;
  readonly shape: GroupShape;
  /** Incarnation of this process. */
  readonly incarnation: string;
  /** Size of the weights of one expert in one layer. */
  readonly expertBytes: number;
  /** Shortest time between the starts of two plans. */
  readonly intervalMs: number;
  /** Interval at which all ranks are read, and repaired where they differ. */
  readonly checkIntervalMs: number;
  /** Expert replicas that each rank can load beside those of the map in force. */
  readonly spareExperts: number;
  readonly plan: PlanOptions;
  readonly load: ExpertLoadOptions;
  readonly stragglers: StragglerOptions;
}

export interface GroupPorts {
  readonly control: RankControl;
  readonly store: ObjectStore;
  readonly lease: LeaseView;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** State of the group as shown to operators. */
export interface GroupView {
  readonly group: string;
  readonly phase: CoordinatorPhase;
  readonly isPaused: boolean;
  readonly mapVersion: number;
  readonly plan: PlanView | undefined;
}

/** The last plan with its expected gain and cost. */
export interface PlanView {
  /** Expert replicas to load. */
  readonly loads: number;
  /** Weights to read from the weight store. */
  readonly weightBytes: number;
  readonly savedMsPerStep: number;
  /** Time of the expert layers in a step under the old map. */
  readonly stepMsBefore: number;
  /** Cost of the loads and of the stall during the switch. */
  readonly costMs: number;
}

/** Plans and rolls out the expert maps of one group. */
export class GroupCoordinator {
  readonly #options: GroupCoordinatorOptions;

  readonly #ports: GroupPorts;

  readonly #record: MapRecord;

  readonly #load: ExpertLoad;

  readonly #stragglers: StragglerDetector;

  #phase = CoordinatorPhase.Standby;

  #fencingNumber = 0;

  #rollout: MapRollout | undefined;

  #map: ExpertMap | undefined;

  #planner: PlacementPlanner | undefined;

  #plan: Plan | undefined;

  #isPaused = false;

  #isStepping = false;

  #nextPlanAtMs = 0;

  #nextCheckAtMs = 0;

  #maxLoads: number;

  constructor(options: GroupCoordinatorOptions, ports: GroupPorts) {
    this.#options = options;
    this.#ports = ports;
    this.#record = new MapRecord(ports.store, options.group);
    this.#load = new ExpertLoad(options.load);
    this.#stragglers = new StragglerDetector(options.shape.ranks, options.stragglers);
    this.#maxLoads = options.plan.maxLoads;
  }

  /** Map that this process last found or put in force. */
  get map(): ExpertMap | undefined {
    return this.#map;
  }

  /** Health of each rank, with its weight in routing. */
  get health(): readonly RankHealth[] {
    return this.#stragglers.health;
  }

  /** Whether the group should be taken out of routing because a rank is too slow. */
  get isLeaveDue(): boolean {
    return this.#stragglers.isLeaveDue;
  }

  get view(): GroupView {
    const plan = this.#plan;
    return {
      group: this.#options.group,
      phase: this.#phase,
      isPaused: this.#isPaused,
      mapVersion: this.#map?.version ?? 0,
      plan: plan && {
        loads: plan.loads,
        weightBytes: plan.loads * this.#options.expertBytes,
        savedMsPerStep: plan.savedMsPerStep,
        stepMsBefore: plan.stepMsBefore,
        costMs: plan.costMs,
      },
    };
  }

  /** Stops planning until {@link resume}; a rollout in progress is completed. */
  pause(): void {
    this.#isPaused = true;
    this.#planner = undefined;
    if (this.#phase === CoordinatorPhase.Planning) this.#phase = CoordinatorPhase.Watching;
  }

  resume(): void {
    this.#isPaused = false;
  }

  /** Limits the next plan to the bytes that may be read from the weight store. */
  setByteBudget(budgetBytes: number): void {
    const loads = Math.floor(budgetBytes / this.#options.expertBytes);
    this.#maxLoads = Math.min(loads, this.#options.plan.maxLoads);
  }

  /** Adds a rank's report of tokens by slot. */
  addLoad(report: RankLoadReport, nowMs: number): void {
    if (this.#map) this.#load.add(report, this.#map, nowMs);
  }

  /**
   * Adds the timings of all ranks for one window.
   *
   * @param canPoolSpareGroup whether the rest of the pool can serve the load without this group
   */
  addTimings(timings: readonly RankTiming[], canPoolSpareGroup: boolean): void {
    this.#stragglers.addWindow(timings, canPoolSpareGroup);
  }

  /** Runs one step of the control loop; returns at once while another step is running. */
  async step(nowMs: number): Promise<void> {
    if (this.#isStepping) return;
    this.#isStepping = true;
    await this.#runStep(nowMs);
    this.#isStepping = false;
  }

  async #runStep(nowMs: number): Promise<void> {
    const { lease } = this.#ports;
    if (!lease.isHeld(nowMs)) {
      this.#phase = CoordinatorPhase.Standby;
      this.#planner = undefined;
      return;
    }
    if (this.#phase === CoordinatorPhase.Standby || lease.fencingNumber !== this.#fencingNumber) {
      this.#takeOver(lease.fencingNumber);
    }
    const isCheckDue = nowMs >= this.#nextCheckAtMs && this.#phase === CoordinatorPhase.Watching;
    if (isCheckDue) this.#phase = CoordinatorPhase.Repairing;
    if (this.#phase === CoordinatorPhase.Repairing) await this.#repair(nowMs);
    else if (this.#phase === CoordinatorPhase.Watching) this.#startPlanning(nowMs);
    else if (this.#phase === CoordinatorPhase.Planning) await this.#continuePlanning(nowMs);
  }

  #takeOver(fencingNumber: number): void {
    this.#fencingNumber = fencingNumber;
    this.#phase = CoordinatorPhase.Repairing;
    this.#planner = undefined;
    const options = {
      fencingNumber,
      incarnation: this.#options.incarnation,
      retries: MAX_ORDER_RETRIES,
      canOrder: () => this.#isHolder(fencingNumber),
    };
    this.#rollout = new MapRollout(this.#ports.control, options, this.#ports.metrics);
  }

  #isHolder(fencingNumber: number): boolean {
    const { lease } = this.#ports;
    return lease.fencingNumber === fencingNumber && lease.isHeld(Date.now());
  }

  async #repair(nowMs: number): Promise<void> {
    const rollout = this.#rollout;
    if (!rollout) return;
    if (!(await this.#loadRecord())) return;
    const repair = new GroupRepair(this.#ports.control, rollout);
    const repaired = await repair.run(this.#record.maps);
    if (!repaired.ok) {
      this.#reportNoNewMap(`repair-${repaired.val.kind}`);
      return;
    }
    if (this.#map?.version !== repaired.val.version) {
      this.#write(LogLevel.Info, 'All ranks of the group use the same expert map.');
    }
    this.#map = repaired.val;
    this.#nextCheckAtMs = nowMs + this.#options.checkIntervalMs;
    this.#phase = CoordinatorPhase.Watching;
  }

  /** Reads the recorded maps; uses the last ones read while the platform is unavailable. */
  async #loadRecord(): Promise<boolean> {
    const maps = await this.#record.load();
    if (!maps.ok) {
      this.#reportNoNewMap(`record-${maps.val.kind}`);
      return this.#record.maps.length > 0;
    }
    return maps.val.length > 0 || this.#recordInitialMap();
  }

  async #recordInitialMap(): Promise<boolean> {
    const { shape } = this.#options;
    const even = new Float64Array(shape.layers * shape.experts).fill(1);
    const speeds = new Array<number>(shape.ranks).fill(1);
    const slots = placeExperts(shape, even, speeds);
    const added = await this.#record.add(slots, shape, this.#fencingNumber, 0);
    if (!added.ok) this.#reportNoNewMap(`record-${added.val.kind}`);
    return added.ok;
  }

  #startPlanning(nowMs: number): void {
    if (this.#isPaused || !this.#map || nowMs < this.#nextPlanAtMs) return;
    this.#nextPlanAtMs = nowMs + this.#options.intervalMs;
    const tokens = this.#load.read(nowMs);
    if (!tokens.ok) {
      this.#reportNoNewMap(tokens.val);
      return;
    }
    const { plan, spareExperts } = this.#options;
    const speeds = this.health.map((rank) => rank.speed);
    const spare = speeds.map(() => spareExperts);
    const input = { map: this.#map, tokens: tokens.val, speeds, spareExperts: spare };
    this.#planner = new PlacementPlanner(input, { ...plan, maxLoads: this.#maxLoads });
    this.#phase = CoordinatorPhase.Planning;
  }

  async #continuePlanning(nowMs: number): Promise<void> {
    const planner = this.#planner;
    if (!planner) return;
    for (let moves = 0; moves < MOVES_PER_STEP; moves += 1) planner.step();
    if (!planner.isDone) return;
    this.#planner = undefined;
    this.#phase = CoordinatorPhase.Watching;
    this.#plan = planner.finish();
    const isFresh = this.#load.read(nowMs).ok;
    if (this.#plan && isFresh) await this.#rollOut(this.#plan);
  }

  async #rollOut(plan: Plan): Promise<void> {
    const rollout = this.#rollout;
    const current = this.#map;
    if (!rollout || !current) return;
    this.#phase = CoordinatorPhase.RollingOut;
    const { shape } = this.#options;
    const added = await this.#record.add(plan.slots, shape, this.#fencingNumber, current.version);
    if (!added.ok) {
      this.#reportNoNewMap(`record-${added.val.kind}`);
      this.#phase = CoordinatorPhase.Repairing;
      return;
    }
    const inUse = new Set([current.version, added.val.version]);
    const versions = Array.from({ length: added.val.version }, (_, index) => index + 1);
    const discarded = versions.filter((version) => !inUse.has(version)).slice(-MAX_DISCARDS);
    const done = await rollout.run(added.val, discarded);
    if (!done.ok) {
      this.#reportNoNewMap(`rollout-${done.val.kind}`);
      this.#phase = CoordinatorPhase.Repairing;
      return;
    }
    this.#map = added.val;
    this.#phase = CoordinatorPhase.Watching;
    this.#ports.metrics.count('groups.map_switched');
    this.#write(LogLevel.Info, 'The group switched to a new expert map.');
  }

  #reportNoNewMap(reason: string): void {
    this.#ports.metrics.count('groups.plan_refused', { reason });
    this.#write(LogLevel.Debug, `The expert map was not changed: ${reason}.`);
  }

  #write(level: LogLevel, sentence: string): void {
    const { group } = this.#options;
    this.#ports.log.write(level, LOG_PART, sentence, { group, map: this.#map?.version });
  }
}
