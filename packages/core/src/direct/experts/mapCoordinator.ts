/**
 * Keeps the expert map of one pool's group balanced for the current demand.
 *
 * One entry at a time coordinates the maps ({@link CoordinatorRole}). The other entries only
 * release a group that stalls on a held pass.
 */
import { containFault } from '../../fault.js';
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

const LOG_PART = 'experts';

/** Interval of the coordination loop. */
const LOOP_INTERVAL_MS = 100;

/**
 * Samples needed for the first plan after a group re-forms. The initial map ignores demand and the
 * backlog is largest at that time, so a rough plan at once beats a better one later.
 */
const INITIAL_SAMPLES_MIN = 1;

/** Minimum time between two plans. */
const PLAN_INTERVAL_MS = 1_200;

/** Delay before planning again if a map cannot be switched now: a switch takes some passes. */
const PLAN_RETRY_MS = 300;

/**
 * Minimum relative reduction of the most loaded rank's load for a plan to be used. A plan is fitted
 * to a few samples, and the following samples differ by about 10 %.
 */
const GAIN_MIN = 0.15;

/** Version of the map that a newly formed group starts with. */
const INITIAL_VERSION = 0;

export interface MapCoordinatorOptions {
  readonly board: FleetBoard;
  readonly pool: string;
  readonly profile: GroupProfile;
  readonly caller: RankCaller;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Returns the sorted names of all entries, including this one. */
  readonly listEntries: () => readonly string[];
}

/** Plans and switches the expert maps of one pool's group. */
export class MapCoordinator {
  readonly #options: MapCoordinatorOptions;

  readonly #telemetry: MapTelemetry;

  readonly #role: CoordinatorRole;

  readonly #monitor: GroupMonitor;

  /** Survives new surveys of the group, as they do not change demand. */
  readonly #demandReader: DemandReader;

  #timer: NodeJS.Timeout | undefined;

  #planAtMs = 0;

  /** Epoch of the last group for which a map was planned. */
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
      this.#runContained().then(() => this.#scheduleRound());
    }, LOOP_INTERVAL_MS);
  }

  async #runContained(): Promise<void> {
    const round = await containFault(this.#options, LOG_PART, () => this.#runRound());
    const nowMs = performance.now();
    if (round.err) this.#monitor.startAnew(nowMs);
    this.#role.endRound(nowMs);
  }

  async #runRound(): Promise<void> {
    const nowMs = performance.now();
    const role = this.#role.beginRound(nowMs);
    this.#telemetry.recordRole(role === Role.Coordinator, this.#options.board.livePeers.size);
    if (role === Role.Coordinator) await this.#coordinate(nowMs);
    else this.#monitor.forget();
    if (role === Role.Standby) await this.#monitor.recoverStalledGroup(nowMs);
  }

  async #coordinate(nowMs: number): Promise<void> {
    const group = await this.#monitor.refresh(nowMs);
    if (!group) return;
    this.#checkPassDurations(nowMs);
    if (this.#demandReader.isDue(nowMs, this.#isBusy(nowMs))) await this.#readDemand(group, nowMs);
    if (this.#isInitialPlanDue(group) || nowMs >= this.#planAtMs) await this.#planMap(group, nowMs);
  }

  /** Reads demand soon if passes have slowed down: that is the first sign of a shift in demand. */
  #checkPassDurations(nowMs: number): void {
    const { board, pool } = this.#options;
    const activity = board.getActivity(pool);
    if (!activity.hasSlowed) return;
    activity.resetPauseBaseline();
    this.#demandReader.speedUp(nowMs);
  }

  /** Whether any entry has requests in flight at the pool's upstreams. */
  #isBusy(nowMs: number): boolean {
    const { board, pool } = this.#options;
    return board.listPool(pool).some((upstream) => board.countLoad(upstream, nowMs) > 0);
  }

  /** Whether the group still has its initial map and no map was planned since it formed. */
  #isInitialPlanDue({ mapVersion, survey }: SettledGroup): boolean {
    return mapVersion === INITIAL_VERSION && survey.epoch !== this.#plannedEpoch;
  }

  async #readDemand({ survey }: SettledGroup, nowMs: number): Promise<void> {
    const { hasShifted, hasFailed } = await this.#demandReader.read(survey, nowMs);
    if (hasFailed) this.#monitor.requestSurvey();
    if (!hasShifted) return;
    this.#telemetry.recordShift();
    this.#planAtMs = 0;
  }

  async #planMap(group: SettledGroup, nowMs: number): Promise<void> {
    const { profile, random } = this.#options;
    const samples = this.#demandReader.listSamples(nowMs);
    const isInitial = group.mapVersion === INITIAL_VERSION;
    if (samples.length < (isInitial ? INITIAL_SAMPLES_MIN : SAMPLES_MIN)) return;
    if (await this.#monitor.isSwitchPending(group)) {
      this.#planAtMs = nowMs + PLAN_RETRY_MS;
      return;
    }
    this.#planAtMs = nowMs + PLAN_INTERVAL_MS;
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
    if (!isSwitched) this.#planAtMs = Math.min(this.#planAtMs, performance.now() + PLAN_RETRY_MS);
  }
}
