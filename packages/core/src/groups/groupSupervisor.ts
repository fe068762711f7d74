/**
 * One entry's part in one group: it coordinates while it holds the group's lease, and recovers the
 * group from a forsaken hold with or without it.
 *
 * A holder that has lost the link to a rank for as long as a lease lasts gives the lease to others.
 */
import type { PlatformPace } from '../config/platformPace.js';
import { ConfigKind, SettingName, type Group } from '../config/object.js';
import { Lease } from '../lease/lease.js';
import type { QueryRow } from '../model/query.js';
import type { Timing } from '../model/timing.js';
import type { Log } from '../ports/log.js';
import type { Metrics } from '../ports/metrics.js';
import type { ObjectStore } from '../ports/objectStore.js';
import type { Random } from '../ports/random.js';
import type { EntryBoard } from '../state/entryBoard.js';

import { GroupCoordinator } from './groupCoordinator.js';
import {
  CHECK_INTERVAL_MS,
  HOLD_LIMIT_MS,
  HOLD_CHECK_INTERVAL_MS,
  LOAD_INTERVAL_MS,
  LOAD_OPTIONS,
  LOOP_INTERVAL_MS,
  PLAN_INTERVAL_MS,
  PLAN_OPTIONS,
  STRAGGLER_OPTIONS,
} from './groupDefaults.js';
import { GroupStateReader } from './groupStateReader.js';
import { isGroupSupervisor } from './keeperChoice.js';
import { HoldWatch } from './holdWatch.js';
import type { LeaseView } from './leaseView.js';
import { LinkRankControl } from './linkRankControl.js';
import { LoadReader } from './loadReader.js';
import type { OrderLinks } from './orderLinks.js';

/** What the keepers of all groups share. */
export interface GroupSupervisorContext {
  readonly board: EntryBoard;
  readonly store: ObjectStore;
  readonly pace: PlatformPace;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly timing: Timing;
  readonly links: OrderLinks;
}

function toLeaseView(lease: Lease): LeaseView {
  return {
    get fencingNumber() {
      return lease.fencingNumber ?? 0;
    },
    isHeld: () => lease.fencingNumber !== undefined,
  };
}

/** Waits for work that is under way, at most for a time. */
function waitAtMost(work: Promise<void>, limitMs: number): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, limitMs);
    work.then(() => {
      clearTimeout(timer);
      resolve();
    });
  });
}

/** Keeps one group. */
export class GroupSupervisor {
  readonly group: Group;

  readonly #context: GroupSupervisorContext;

  readonly #control: LinkRankControl;

  readonly #lease: Lease;

  readonly #coordinator: GroupCoordinator;

  readonly #watchdog: HoldWatch;

  readonly #loadReader: LoadReader;

  readonly #timers: NodeJS.Timeout[] = [];

  /** When all ranks were last within reach. */
  #lastCompleteAtMs = Date.now();

  #noCandidateUntilMs = 0;

  #isStepping = false;

  /** The step of the control loop that runs now, or the last one. */
  #currentStep: Promise<void> = Promise.resolve();

  constructor(context: GroupSupervisorContext, group: Group) {
    const { board, links, metrics, random } = context;
    this.group = group;
    this.#context = context;
    this.#control = new LinkRankControl(board, links, group.name, group.ranks);
    this.#lease = this.#createLease();
    this.#coordinator = this.#createCoordinator();
    // Another proposer than the coordinator in this process: they never share a ballot.
    const watchdogOptions = {
      incarnation: `${board.incarnation}/recovery`,
      holdLimitMs: HOLD_LIMIT_MS,
    };
    const stateReader = new GroupStateReader(this.#control);
    this.#watchdog = new HoldWatch(stateReader, this.#control, watchdogOptions, random, metrics);
    this.#loadReader = new LoadReader(this.#control, links, metrics);
  }

  /** What operators are told, by columns. */
  get row(): QueryRow {
    const { group, phase, mapVersion, plan } = this.#coordinator.view;
    const { weightBytes = 0, savedMsPerStep = 0, costMs = 0, loads = 0 } = plan ?? {};
    const planned = { planLoads: loads, planBytes: weightBytes, planCostMs: costMs };
    return { name: group, phase, mapVersion, ...planned, planSavedMsPerStep: savedMsPerStep };
  }

  start(): void {
    this.#lease.start();
    this.#repeat(LOOP_INTERVAL_MS, () => this.#beginStep());
    this.#repeat(HOLD_CHECK_INTERVAL_MS, () => this.#checkHold());
    this.#repeat(LOAD_INTERVAL_MS, () => this.#readLoad());
  }

  /** Stops, and frees the lease for others, once a switch that has begun is at its end. */
  async stop(): Promise<void> {
    this.#timers.forEach((timer) => clearInterval(timer));
    await waitAtMost(this.#currentStep, this.#context.timing.leaseMs);
    await this.#lease.stop();
  }

  #repeat(intervalMs: number, work: () => unknown): void {
    this.#timers.push(setInterval(work, intervalMs));
  }

  #createLease(): Lease {
    const { board, timing } = this.#context;
    const { name } = this.group;
    return new Lease({
      ...this.#context,
      key: `lease/group/${name}`,
      holder: `${board.name}/${board.incarnation}`,
      leaseMs: timing.leaseMs,
      isCandidate: () => this.#isCandidate,
    });
  }

  get #isCandidate(): boolean {
    const { board } = this.#context;
    if (board.isStopping || Date.now() < this.#noCandidateUntilMs) return false;
    return isGroupSupervisor(board, this.group.name);
  }

  #createCoordinator(): GroupCoordinator {
    const { board } = this.#context;
    const { name, ranks, layers, expertsPerLayer, slotsPerRank, expertBytes, spareExperts } =
      this.group;
    const options = {
      group: name,
      shape: { ranks, layers, experts: expertsPerLayer, slotsPerRank },
      incarnation: board.incarnation,
      expertBytes,
      intervalMs: PLAN_INTERVAL_MS,
      checkIntervalMs: CHECK_INTERVAL_MS,
      spareExperts,
      plan: PLAN_OPTIONS,
      load: LOAD_OPTIONS,
      stragglers: STRAGGLER_OPTIONS,
    };
    const lease = toLeaseView(this.#lease);
    return new GroupCoordinator(options, { ...this.#context, control: this.#control, lease });
  }

  #beginStep(): void {
    if (this.#isStepping) return;
    this.#isStepping = true;
    this.#currentStep = this.#step();
  }

  async #step(): Promise<void> {
    this.#applyPause();
    await this.#releaseLeaseIfUnlinked();
    await this.#coordinator.step(Date.now());
    this.#isStepping = false;
  }

  #applyPause(): void {
    const { config } = this.#context.board;
    const isAllPaused = config.get(ConfigKind.Setting, SettingName.RebalancePaused)?.value === true;
    const isPaused = config.get(ConfigKind.Group, this.group.name)?.isRebalancePaused ?? false;
    if (isAllPaused || isPaused) this.#coordinator.pause();
    else this.#coordinator.resume();
  }

  /** Gives the lease back where a rank has been out of reach for too long. */
  async #releaseLeaseIfUnlinked(): Promise<void> {
    const nowMs = Date.now();
    const { timing, metrics } = this.#context;
    const isHolder = this.#lease.fencingNumber !== undefined;
    if (!isHolder || this.#control.isComplete) this.#lastCompleteAtMs = nowMs;
    if (nowMs - this.#lastCompleteAtMs < timing.leaseMs) return;
    this.#lastCompleteAtMs = nowMs;
    this.#noCandidateUntilMs = nowMs + timing.leaseMs * 2;
    metrics.count('groups.lease_passed_on');
    await this.#lease.stop();
    this.#lease.start();
  }

  /** Recovery needs neither the platform nor the lease. */
  async #checkHold(): Promise<void> {
    if (!isGroupSupervisor(this.#context.board, this.group.name)) return;
    await this.#watchdog.step(Date.now());
  }

  async #readLoad(): Promise<void> {
    const { fencingNumber } = this.#lease;
    if (fencingNumber === undefined || !this.#control.isComplete) return;
    const reports = await this.#loadReader.read(fencingNumber);
    reports.forEach((report) => this.#coordinator.addLoad(report, Date.now()));
  }
}
