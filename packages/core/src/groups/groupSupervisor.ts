/**
 * Supervises one group on one entry: coordinates the group while the entry holds its lease, and
 * recovers the group from an abandoned hold with or without the lease.
 *
 * A lease holder that has had no link to some rank for one lease term releases the lease, so that
 * another entry can take it.
 */
import type { PlatformPace } from '../config/platformPace.js';
import { ConfigKind, SettingName, type Group } from '../config/object.js';
import { containFault } from '../fault.js';
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
import { isGroupSupervisor } from './supervisorSelection.js';
import { HoldWatchdog } from './holdWatchdog.js';
import type { LeaseView } from './leaseView.js';
import { LinkRankControl } from './linkRankControl.js';
import { LoadReader } from './loadReader.js';
import type { OrderClient } from './orderClient.js';

const LOG_PART = 'groups';

/** Dependencies shared by the supervisors of all groups. */
export interface GroupSupervisorContext {
  readonly board: EntryBoard;
  readonly store: ObjectStore;
  readonly pace: PlatformPace;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly timing: Timing;
  readonly links: OrderClient;
}

function toLeaseView(lease: Lease): LeaseView {
  return {
    get fencingNumber() {
      return lease.fencingNumber ?? 0;
    },
    isHeld: () => lease.fencingNumber !== undefined,
  };
}

/** Waits until the work has ended, for `limitMs` at most. */
function waitAtMost(work: Promise<void>, limitMs: number): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, limitMs);
    work.then(() => {
      clearTimeout(timer);
      resolve();
    });
  });
}

/** Supervises one group. */
export class GroupSupervisor {
  readonly group: Group;

  readonly #context: GroupSupervisorContext;

  readonly #control: LinkRankControl;

  readonly #lease: Lease;

  readonly #coordinator: GroupCoordinator;

  readonly #watchdog: HoldWatchdog;

  readonly #loadReader: LoadReader;

  readonly #timers: NodeJS.Timeout[] = [];

  /** When there were last links to all ranks, or this entry did not hold the lease. */
  #lastCompleteAtMs = Date.now();

  /** Time until which this entry does not compete for the lease. */
  #noCandidateUntilMs = 0;

  #isStepping = false;

  /** The current or last step of the control loop. */
  #currentStep: Promise<void> = Promise.resolve();

  constructor(context: GroupSupervisorContext, group: Group) {
    const { board, links, metrics, random } = context;
    this.group = group;
    this.#context = context;
    this.#control = new LinkRankControl(board, links, group.name, group.ranks);
    this.#lease = this.#createLease();
    this.#coordinator = this.#createCoordinator();
    // The suffix keeps recovery and the coordinator of this process from sharing a ballot.
    const watchdogOptions = {
      incarnation: `${board.incarnation}/recovery`,
      holdLimitMs: HOLD_LIMIT_MS,
    };
    const stateReader = new GroupStateReader(this.#control);
    this.#watchdog = new HoldWatchdog(stateReader, this.#control, watchdogOptions, random, metrics);
    this.#loadReader = new LoadReader(this.#control, links, metrics);
  }

  /** State of the group as a row for operators. */
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

  /** Stops, and releases the lease once a switch in progress has ended or a lease term is over. */
  async stop(): Promise<void> {
    this.#timers.forEach((timer) => clearInterval(timer));
    await waitAtMost(this.#currentStep, this.#context.timing.leaseMs);
    await this.#lease.stop();
  }

  #repeat(intervalMs: number, work: () => Promise<void>): void {
    const run = () => containFault(this.#context, LOG_PART, work);
    this.#timers.push(setInterval(run, intervalMs));
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

  async #beginStep(): Promise<void> {
    if (this.#isStepping) return;
    this.#isStepping = true;
    const step = containFault(this.#context, LOG_PART, () => this.#step());
    this.#currentStep = step.then(() => {
      this.#isStepping = false;
    });
  }

  async #step(): Promise<void> {
    this.#applyPause();
    await this.#releaseLeaseIfUnlinked();
    await this.#coordinator.step(Date.now());
  }

  #applyPause(): void {
    const { config } = this.#context.board;
    const isAllPaused = config.get(ConfigKind.Setting, SettingName.RebalancePaused)?.value === true;
    const isPaused = config.get(ConfigKind.Group, this.group.name)?.isRebalancePaused ?? false;
    if (isAllPaused || isPaused) this.#coordinator.pause();
    else this.#coordinator.resume();
  }

  /** Releases the lease if some rank has been unreachable for a lease term. */
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

  /** Recovers the group from an abandoned hold; needs neither the platform nor the lease. */
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
