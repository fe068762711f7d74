/**
 * Simulates a group of ranks that run passes in lockstep and execute orders, under a fake clock.
 *
 * It records the map versions of the ranks at each pass. Orders can be lost, and executed seconds
 * late.
 */
import {
  OrderOutcome,
  RankCaller,
  RankOrderKind,
  type RankCommand,
  type RankCounts,
  type RankExperts,
  type RankReport,
} from '../../../src/direct/experts/rankCaller.js';
import type { UpstreamEntry } from '../../../src/direct/directUpstream.js';
import { Err, Ok, type Result } from '../../../src/outcome.js';
import type { Random } from '../../../src/ports/random.js';
import { wait } from '../../../src/wait.js';

import { FakeRank, type Placement } from './fakeRank.js';

/** Round-trip time of an order or a read. */
const ROUND_TRIP_MS = 4;

/** Time after which a caller stops waiting for an answer. */
const ANSWER_TIMEOUT_MS = 120;

/** Minimum delay of a late order. */
const LATE_DELAY_MIN_MS = 2_000;

/** Maximum delay that is added to the minimum. */
const LATE_DELAY_RANGE_MS = 10_000;

export interface RankGroupOptions {
  readonly size: number;
  readonly map: Placement;
  readonly passMs: number;
  readonly random: Random;
}

/** A group whose ranks are addressed by the numbers in the ids of their upstreams. */
export class RankGroup extends RankCaller {
  readonly #options: RankGroupOptions;

  readonly #ranks: readonly FakeRank[];

  /** Past reports of each rank, used if reports are delayed. */
  readonly #past: { readonly of: FakeRank; readonly atMs: number; readonly report: RankReport }[] =
    [];

  readonly #timer: NodeJS.Timeout;

  #step = 0;

  #epoch = 1;

  /** Whether the group has requests; an idle group runs no passes. */
  isBusy = true;

  /** Whether all ranks are present; if not, no pass begins until the group re-forms. */
  isOpen = true;

  /** Fraction of the orders whose answer is lost and that are executed late. */
  lateFraction = 0;

  /** Fraction of the orders whose answer is lost and that are never executed. */
  droppedFraction = 0;

  /** Number of `prepare` orders to refuse from now on, as if a switch was still pending. */
  mapsToRefuse = 0;

  /** Passes that began with more than one map version. */
  readonly mixedMapPasses: number[] = [];

  /** Versions that have been in force, in order. */
  readonly versions: number[] = [0];

  /** Choices of each expert, the same for all ranks; tests increase them. */
  readonly counts: number[];

  /** Number of reports read. */
  reportReads = 0;

  /** Number of times that the counts were read. */
  countReads = 0;

  /** Age of the state in a report. */
  reportLagMs = 0;

  /** Number of orders that ranks refused. */
  refusedOrders = 0;

  /** Number of times that a due pass did not begin because it was held. */
  heldPasses = 0;

  constructor(options: RankGroupOptions) {
    super();
    this.#options = options;
    this.#ranks = Array.from({ length: options.size }, () => new FakeRank(options.map));
    const experts = new Set(options.map[0]?.flat()).size;
    this.counts = new Array<number>(options.map.length * experts).fill(0);
    this.#timer = setInterval(() => this.#runPass(), options.passMs);
  }

  get step(): number {
    return this.#step;
  }

  get epoch(): number {
    return this.#epoch;
  }

  /** Number of the held pass, if there is one. */
  get heldStep(): number | undefined {
    return this.#ranks.find(({ heldStep }) => heldStep !== undefined)?.heldStep;
  }

  get isHeld(): boolean {
    return this.heldStep !== undefined;
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Re-forms the group with all ranks reset, as after a crash of a rank. */
  reform(): void {
    this.isOpen = true;
    this.#epoch += 1;
    this.#ranks.forEach((rank) => rank.reset(this.#options.map));
  }

  override async readReport(entry: UpstreamEntry): Promise<Result<RankReport, string>> {
    this.reportReads += 1;
    await wait(ROUND_TRIP_MS);
    const rank = this.#findRank(entry);
    if (!rank) return Err('no such rank');
    const reportedAtMs = performance.now() - this.reportLagMs;
    const oldReport = this.#past
      .filter(({ of, atMs }) => of === rank && atMs <= reportedAtMs)
      .pop();
    return Ok(this.reportLagMs > 0 && oldReport ? oldReport.report : this.#createReport(rank));
  }

  #createReport(rank: FakeRank): RankReport {
    const { preparedVersion, armed, heldStep, mapVersion } = rank;
    return {
      group: 'g',
      epoch: this.#epoch,
      rank: this.#ranks.indexOf(rank),
      isOpen: this.isOpen,
      size: this.#ranks.length,
      step: this.#step,
      pace: 1,
      mapVersion,
      preparedVersion,
      armed,
      heldStep,
    };
  }

  /** Records the reports of all ranks for later delivery, if reports are delayed. */
  #recordReports(): void {
    if (this.reportLagMs === 0) return;
    const atMs = performance.now();
    this.#ranks.forEach((of) => this.#past.push({ of, atMs, report: this.#createReport(of) }));
  }

  override async readCounts(): Promise<Result<RankCounts, string>> {
    this.countReads += 1;
    await wait(ROUND_TRIP_MS);
    return Ok({ epoch: this.#epoch, step: this.#step, counts: [...this.counts] });
  }

  override async readExperts(entry: UpstreamEntry): Promise<Result<RankExperts, string>> {
    await wait(ROUND_TRIP_MS);
    const rank = this.#findRank(entry);
    if (!rank) return Err('no such rank');
    const at = this.#ranks.indexOf(rank);
    return Ok({ mapVersion: rank.mapVersion, experts: rank.map.map((layer) => layer[at] ?? []) });
  }

  override async order(entry: UpstreamEntry, command: RankCommand): Promise<OrderOutcome> {
    const rank = this.#findRank(entry);
    if (!rank) return OrderOutcome.Refused;
    const draw = this.#options.random.next();
    if (draw < this.lateFraction + this.droppedFraction) {
      if (draw < this.lateFraction) {
        const delayMs = LATE_DELAY_MIN_MS + this.#options.random.next() * LATE_DELAY_RANGE_MS;
        setTimeout(() => this.#execute(rank, command), delayMs);
      }
      await wait(ANSWER_TIMEOUT_MS);
      return OrderOutcome.Lost;
    }
    await wait(ROUND_TRIP_MS / 2);
    const isDone = this.#execute(rank, command);
    await wait(ROUND_TRIP_MS / 2);
    if (!isDone) this.refusedOrders += 1;
    return isDone ? OrderOutcome.Done : OrderOutcome.Refused;
  }

  #findRank({ id }: UpstreamEntry): FakeRank | undefined {
    return this.#ranks[Number(id.split('-').pop())];
  }

  #execute(rank: FakeRank, command: RankCommand): boolean {
    if (command.kind === RankOrderKind.Prepare && this.mapsToRefuse > 0) {
      this.mapsToRefuse -= 1;
      return false;
    }
    const isDone = command.epoch === this.#epoch && rank.execute(command, this.#step);
    this.#recordReports();
    return isDone;
  }

  #runPass(): void {
    if (!this.isBusy || !this.isOpen) return;
    const next = this.#step + 1;
    if (this.#ranks.some(({ heldStep }) => heldStep === next)) {
      this.heldPasses += 1;
      return;
    }
    this.#step = next;
    this.#ranks.forEach((rank) => rank.beginPass(next));
    this.#recordReports();
    const versions = new Set(this.#ranks.map(({ mapVersion }) => mapVersion));
    if (versions.size > 1) this.mixedMapPasses.push(next);
    const [version = 0] = versions;
    if (this.versions[this.versions.length - 1] !== version) this.versions.push(version);
  }
}
