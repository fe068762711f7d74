/**
 * A group of ranks in lock-step that speaks the orders of an expert map, under a fake clock.
 *
 * It records the map of every rank at every pass. Orders can be lost, and carried out seconds
 * later.
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

/** Time of an order, or of a report, there and back. */
const CALL_MS = 4;

/** Time after which a caller gives an answer up. */
const ANSWER_LIMIT_MS = 120;

/** Earliest and latest time after which a lost order is carried out. */
const LATE_MIN_MS = 2_000;
const LATE_SPAN_MS = 10_000;

export interface RankGroupOptions {
  readonly size: number;
  readonly map: Placement;
  readonly passMs: number;
  readonly random: Random;
}

/** A group; its ranks are addressed by the numbers in their upstreams' ids. */
export class RankGroup extends RankCaller {
  readonly #options: RankGroupOptions;

  readonly #ranks: readonly FakeRank[];

  /** What each rank has said of itself, where reports are old. */
  readonly #told: { readonly of: FakeRank; readonly atMs: number; readonly report: RankReport }[] =
    [];

  readonly #timer: NodeJS.Timeout;

  #step = 0;

  #epoch = 1;

  /** Whether requests are worked on; an idle group makes no passes. */
  isBusy = true;

  /** Whether all ranks are there; else no pass begins until the group forms anew. */
  isOpen = true;

  /** Part of the orders that are lost and carried out late. */
  lostPart = 0;

  /** Part of the orders that are lost and never carried out. */
  droppedPart = 0;

  /** Maps that are refused from now on, as if the one before were still to come into force. */
  refusedMaps = 0;

  /** Passes that began with two maps. */
  readonly broken: number[] = [];

  /** Versions that were in force, in order. */
  readonly versions: number[] = [0];

  /** Choices of each expert by this rank's requests; tests raise them. */
  readonly counts: number[];

  /** Reports that were read. */
  reports = 0;

  /** Times that choices were read. */
  countReads = 0;

  /** Age of what a report says. */
  reportLagMs = 0;

  /** Orders that ranks could not carry out. */
  refusedOrders = 0;

  /** Passes that were due while one was held. */
  heldPasses = 0;

  constructor(options: RankGroupOptions) {
    super();
    this.#options = options;
    this.#ranks = Array.from({ length: options.size }, () => new FakeRank(options.map));
    const experts = new Set(options.map[0]?.flat()).size;
    this.counts = new Array<number>(options.map.length * experts).fill(0);
    this.#timer = setInterval(() => this.#pass(), options.passMs);
  }

  get step(): number {
    return this.#step;
  }

  get epoch(): number {
    return this.#epoch;
  }

  /** The pass that is held back, if one is. */
  get heldStep(): number | undefined {
    return this.#ranks.find(({ heldStep }) => heldStep !== undefined)?.heldStep;
  }

  get isHeld(): boolean {
    return this.heldStep !== undefined;
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** A rank has crashed and is back: all begin anew. */
  reform(): void {
    this.isOpen = true;
    this.#epoch += 1;
    this.#ranks.forEach((rank) => rank.reset(this.#options.map));
  }

  override async readReport(entry: UpstreamEntry): Promise<Result<RankReport, string>> {
    this.reports += 1;
    await wait(CALL_MS);
    const rank = this.#find(entry);
    if (!rank) return Err('no such rank');
    const saidAtMs = performance.now() - this.reportLagMs;
    const said = this.#told.filter(({ of, atMs }) => of === rank && atMs <= saidAtMs).pop();
    return Ok(this.reportLagMs > 0 && said ? said.report : this.#describe(rank));
  }

  #describe(rank: FakeRank): RankReport {
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

  /** Keeps what all ranks say now, for those who are told later. */
  #tell(): void {
    if (this.reportLagMs === 0) return;
    const atMs = performance.now();
    this.#ranks.forEach((of) => this.#told.push({ of, atMs, report: this.#describe(of) }));
  }

  override async readCounts(): Promise<Result<RankCounts, string>> {
    this.countReads += 1;
    await wait(CALL_MS);
    return Ok({ epoch: this.#epoch, step: this.#step, counts: [...this.counts] });
  }

  override async readExperts(entry: UpstreamEntry): Promise<Result<RankExperts, string>> {
    await wait(CALL_MS);
    const rank = this.#find(entry);
    if (!rank) return Err('no such rank');
    const at = this.#ranks.indexOf(rank);
    return Ok({ mapVersion: rank.mapVersion, experts: rank.map.map((layer) => layer[at] ?? []) });
  }

  override async order(entry: UpstreamEntry, command: RankCommand): Promise<OrderOutcome> {
    const rank = this.#find(entry);
    if (!rank) return OrderOutcome.Refused;
    const draw = this.#options.random.next();
    if (draw < this.lostPart + this.droppedPart) {
      if (draw < this.lostPart) {
        const lateMs = LATE_MIN_MS + this.#options.random.next() * LATE_SPAN_MS;
        setTimeout(() => this.#carryOut(rank, command), lateMs);
      }
      await wait(ANSWER_LIMIT_MS);
      return OrderOutcome.Lost;
    }
    await wait(CALL_MS / 2);
    const isDone = this.#carryOut(rank, command);
    await wait(CALL_MS / 2);
    if (!isDone) this.refusedOrders += 1;
    return isDone ? OrderOutcome.Done : OrderOutcome.Refused;
  }

  #find({ id }: UpstreamEntry): FakeRank | undefined {
    return this.#ranks[Number(id.split('-').pop())];
  }

  #carryOut(rank: FakeRank, command: RankCommand): boolean {
    if (command.kind === RankOrderKind.Prepare && this.refusedMaps > 0) {
      this.refusedMaps -= 1;
      return false;
    }
    const isDone = command.epoch === this.#epoch && rank.carryOut(command, this.#step);
    this.#tell();
    return isDone;
  }

  #pass(): void {
    if (!this.isBusy || !this.isOpen) return;
    const next = this.#step + 1;
    if (this.#ranks.some(({ heldStep }) => heldStep === next)) {
      this.heldPasses += 1;
      return;
    }
    this.#step = next;
    this.#ranks.forEach((rank) => rank.beginPass(next));
    this.#tell();
    const versions = new Set(this.#ranks.map(({ mapVersion }) => mapVersion));
    if (versions.size > 1) this.broken.push(next);
    const [version = 0] = versions;
    if (this.versions[this.versions.length - 1] !== version) this.versions.push(version);
  }
}
