/**
 * Keeps the expert maps of one pool's group close to what is in demand.
 *
 * One entry does so at a time ({@link CoordinatorRole}); the others only let a group go on that is held.
 */
import type { Log } from '../../ports/log.js';
import type { Metrics } from '../../ports/metrics.js';
import type { Random } from '../../ports/random.js';
import type { FleetBoard } from '../fleetBoard.js';
import type { GroupProfile } from '../routeTable.js';

import { DemandReader, SAMPLES_MIN } from './demandReader.js';
import { CoordinatorRole, Role } from './coordinatorRole.js';
import { GroupMonitor, type SettledGroup } from './groupMonitor.js';
import { MapTelemetry } from './mapTelemetry.js';
import { searchMap } from './mapSearch.js';
import type { RankCaller } from './rankCaller.js';

/** Interval of the loop. */
const LOOP_INTERVAL_MS = 100;

/**
 * Samples that the first plan after a group has formed anew needs. The group's initial map ignores
 * demand and its backlog is largest then, so a rough plan at once beats a better one later.
 */
const INITIAL_SAMPLES_MIN = 1;

/** Shortest time between two plans. */
const PLAN_INTERVAL_MS = 1_200;

/** Time until the next plan where a map cannot be given now: a switch takes some passes. */
const PLAN_RETRY_MS = 300;

/**
 * Part by which a plan has to lower the load of the most loaded rank: it is fitted to a few
 * samples, and the next ones differ by a tenth.
 */
const GAIN_MIN = 0.15;

/** Version of the map with which a group forms. */
const INITIAL_VERSION = 0;

export interface MapCoordinatorOptions {
  readonly board: FleetBoard;
  readonly pool: string;
  readonly profile: GroupProfile;
  readonly caller: RankCaller;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Names of all entries, this one included, in order. */
  readonly listEntries: () => readonly string[];
}

/** Keeper of the maps of one pool. */
export class MapCoordinator {
  readonly #options: MapCoordinatorOptions;

  readonly #telemetry: MapTelemetry;

  readonly #role: CoordinatorRole;

  readonly #monitor: GroupMonitor;

  /** Kept while a group is surveyed anew: demand does not change with that. */
  readonly #demandReader: DemandReader;

  #timer: NodeJS.Timeout | undefined;

  #nextPlanAtMs = 0;

  /** Epoch of the last group that had its first map and was planned at once. */
  #plannedEpoch: number | undefined;

  #isRunning = false;

  constructor(options: MapCoordinatorOptions) {
    this.#options = options;
    this.#telemetry = new MapTelemetry(options);
    this.#role = new CoordinatorRole(options.board);
    this.#monitor = new GroupMonitor({ ...options, telemetry: this.#telemetry });
    this.#demandReader = new DemandReader(options);
  }

  start(): void {
    this.#isRunning = true;
    this.#role.start(performance.now());
    this.#scheduleRound();
  }

  stop(): void {
    this.#isRunning = false;
    clearTimeout(this.#timer);
  }

  #scheduleRound(): void {
    if (!this.#isRunning) return;
    this.#timer = setTimeout(() => {
      this.#runRound().then(() => this.#scheduleRound());
    }, LOOP_INTERVAL_MS);
  }

  async #runRound(): Promise<void> {
    const nowMs = performance.now();
    const role = this.#role.beginRound(nowMs);
    this.#telemetry.recordRole(role === Role.Coordinator, this.#options.board.heardPeers.size);
    if (role === Role.Coordinator) await this.#coordinate(nowMs);
    else this.#monitor.forget();
    if (role === Role.Standby) await this.#monitor.recoverStalledGroup(nowMs);
    this.#role.endRound(performance.now());
  }

  async #coordinate(nowMs: number): Promise<void> {
    const group = await this.#monitor.refresh(nowMs);
    if (!group) return;
    this.#checkPassDurations(nowMs);
    if (this.#demandReader.isDue(nowMs, this.#isBusy(nowMs))) await this.#readDemand(group, nowMs);
    if (this.#isInitialPlanDue(group) || nowMs >= this.#nextPlanAtMs) await this.#planMap(group, nowMs);
  }

  /** Passes that become slower are the first sign of a shift of demand. */
  #checkPassDurations(nowMs: number): void {
    const { board, pool } = this.#options;
    const activity = board.readActivity(pool);
    if (!activity.hasSlowed) return;
    activity.acceptPauses();
    this.#demandReader.speedUp(nowMs);
  }

  /** Whether any entry has requests at the pool's upstreams. */
  #isBusy(nowMs: number): boolean {
    const { board, pool } = this.#options;
    return board.listPool(pool).some((upstream) => board.countLoad(upstream, nowMs) > 0);
  }

  /** Whether a group has its first map, and has not been planned since it formed. */
  #isInitialPlanDue({ mapVersion, survey }: SettledGroup): boolean {
    return mapVersion === INITIAL_VERSION && survey.epoch !== this.#plannedEpoch;
  }

  async #readDemand({ survey }: SettledGroup, nowMs: number): Promise<void> {
    const { hasShifted, hasFailed } = await this.#demandReader.read(survey, nowMs);
    if (hasFailed) this.#monitor.requestSurvey();
    if (!hasShifted) return;
    this.#telemetry.recordShift();
    this.#nextPlanAtMs = 0;
  }

  async #planMap(group: SettledGroup, nowMs: number): Promise<void> {
    const { profile, random } = this.#options;
    const samples = this.#demandReader.listSamples(nowMs);
    const isInitial = group.mapVersion === INITIAL_VERSION;
    if (samples.length < (isInitial ? INITIAL_SAMPLES_MIN : SAMPLES_MIN)) return;
    if (await this.#monitor.isSwitchPending(group)) {
      this.#nextPlanAtMs = nowMs + PLAN_RETRY_MS;
      return;
    }
    this.#nextPlanAtMs = nowMs + PLAN_INTERVAL_MS;
    this.#plannedEpoch = group.survey.epoch;
    const found = await searchMap({
      profile,
      placement: group.placement,
      samples,
      paces: group.survey.ranks.map(({ report }) => report.pace),
      random,
    });
    const { skewBefore, skewAfter } = found;
    const isWorthwhile = skewAfter < skewBefore * (1 - GAIN_MIN);
    this.#telemetry.recordPlan(found, samples.length, isWorthwhile);
    if (!isWorthwhile || !this.#role.isElected) return;
    const isSwitched = await this.#monitor.switchMap(group, found.placement);
    if (!isSwitched) this.#nextPlanAtMs = Math.min(this.#nextPlanAtMs, performance.now() + PLAN_RETRY_MS);
  }
}
