/**
 * Switches all ranks of a group to a new expert map at the same pass.
 *
 * First all ranks copy the experts of the map. Then one rank holds a pass some way ahead as a
 * barrier, all ranks are armed for that pass, and it is released once every rank has confirmed. As
 * the ranks run passes in lockstep, the pass cannot begin while any rank is not armed.
 *
 * An order without an answer may be executed seconds later, so every order is harmless when late:
 * a late `prepare` has too low a version, and a late `arm`, `hold` or `go` names a pass that has
 * already begun. A switch whose pass is held is completed whenever possible. If one rank can no
 * longer be armed, the pass may begin only after no other rank can be armed either. A `disarm` does
 * not ensure that, as an `arm` still in transit could follow it. Each rank is therefore sent a
 * newer version, which replaces the one that could be armed.
 */
import type { GroupRank, GroupSurvey, HeldPass } from './groupSurvey.js';
import { findOwnedPass } from './passOwnership.js';
import { OrderOutcome, RankOrderKind, type RankCaller, type RankCommand } from './rankCaller.js';
import type { Placement } from './mapSearch.js';
import { wait } from '../../wait.js';

/**
 * Lead time from the last reported pass to the held one: reports are about 200 ms old, and sending
 * orders to all ranks takes a few milliseconds.
 */
const LEAD_MS = 300;

/** Lead time added per lost order, as more orders are likely to be lost and sent again. */
const LEAD_PER_LOSS_MS = 100;

/** Maximum number of lost orders that add lead time. */
const COUNTED_LOSSES_MAX = 8;

/** Bounds of the lead in passes, whatever the duration of a pass. */
const LEAD_PASSES_MIN = 2;
const LEAD_PASSES_MAX = 20;

/** Maximum number of times that an order is sent until it is answered. */
const ORDER_TRIES_MAX = 40;

/** Interval at which a rank that copies experts is polled. */
const COPY_POLL_INTERVAL_MS = 150;

/** Longest wait for all ranks to finish copying. */
const COPY_TIMEOUT_MS = 5_000;

/** Maximum number of newer versions sent to a rank until it accepts one. */
const SUPERSEDE_TRIES_MAX = 5;

/** Maximum number of passes tried to hold, each later than the one before. */
const HOLD_TRIES_MAX = 3;

/** Gap in progress from which this process counts as paused, so that other entries may act. */
const PAUSE_THRESHOLD_MS = 600;

/** How a switch ended. */
export enum SwitchOutcome {
  Done = 'done',
  /** The map in force stays, and no rank is armed. */
  NotBegun = 'not-begun',
  /** The state of the ranks is unknown, so all of them have to be surveyed. */
  Uncertain = 'doubtful',
}

export interface SwitchResult {
  readonly outcome: SwitchOutcome;
  /** Stage at which the switch ended. */
  readonly stage: string;
  /** Orders that were sent. */
  readonly orders: number;
  /** Orders that were not answered. */
  readonly losses: number;
}

export interface BarrierSwitchOptions {
  readonly caller: RankCaller;
  readonly survey: GroupSurvey;
  /**
   * Position of this entry in the sorted list of all entries. It decides which passes the entry
   * owns: two entries never hold the same pass, and a rank holds one pass at a time, so a hold acts
   * as a lock.
   */
  readonly entryIndex: number;
  /** Number of all entries. */
  readonly entryCount: number;
  /** Called for each order that was refused or not answered. */
  readonly onOrderFailure?: (rank: GroupRank, command: RankCommand, outcome: OrderOutcome) => void;
}

type Order = Omit<RankCommand, 'epoch'>;

/** Outcome of an order, and the number of tries up to it. */
interface OrderReply {
  readonly outcome: OrderOutcome;
  readonly tries: number;
}

/** One switch of one group to a new map. */
export class BarrierSwitch {
  readonly #options: BarrierSwitchOptions;

  #lastProgressAtMs = performance.now();

  #wasPaused = false;

  #orders = 0;

  /** Orders that were not answered so far. */
  #losses = 0;

  constructor(options: BarrierSwitchOptions) {
    this.#options = options;
  }

  /** Switches all ranks to a new map. */
  async run(version: number, placement: Placement): Promise<SwitchResult> {
    const isPrepared = await this.#prepareAll(version, placement);
    if (!isPrepared) return this.#createResult(SwitchOutcome.NotBegun, 'prepare');
    const isCopied = await this.#waitForCopies(version);
    if (!isCopied) return this.#createResult(SwitchOutcome.NotBegun, 'copy');
    const step = await this.#holdPass();
    if (step === undefined) return this.#createResult(SwitchOutcome.Uncertain, 'hold');
    return this.complete(version, step);
  }

  /** Arms all ranks for a held pass, and releases the pass. */
  async complete(version: number, step: number): Promise<SwitchResult> {
    const { ranks } = this.#options.survey;
    const command = { kind: RankOrderKind.Arm, version, step };
    const armed = await Promise.all(ranks.map((rank) => this.#executeOrder(rank, command)));
    if (this.#wasPaused) return this.#createResult(SwitchOutcome.Uncertain, 'arm');
    if (armed.every((isArmed) => isArmed)) return this.#finishSwitch(step, SwitchOutcome.Done);
    return this.#createResult(SwitchOutcome.Uncertain, 'arm');
  }

  /**
   * Releases a held pass without a new map, because a rank can no longer be armed.
   *
   * @param versions versions that ranks may be armed with
   * @param placement the map in force
   * @param chooseVersion returns a version above all that the ranks have had, a new one per call
   */
  async abort(
    { holder, step, versions }: HeldPass,
    placement: Placement,
    chooseVersion: () => number,
  ): Promise<SwitchResult> {
    const { ranks } = this.#options.survey;
    const superseded = await Promise.all(
      ranks.map((rank) => this.#supersedeOnRank(rank, versions, placement, chooseVersion)),
    );
    if (this.#wasPaused || !superseded.every((isSuperseded) => isSuperseded)) {
      return this.#createResult(SwitchOutcome.Uncertain, 'clear');
    }
    return this.#finishSwitch(step, SwitchOutcome.NotBegun, holder);
  }

  /** @returns whether the rank is certain to have a newer version, and so cannot be armed */
  async #supersedeOnRank(
    rank: GroupRank,
    versions: readonly number[],
    map: Placement,
    chooseVersion: () => number,
  ): Promise<boolean> {
    for (let tries = 0; tries < SUPERSEDE_TRIES_MAX; tries += 1) {
      const command = { kind: RankOrderKind.Prepare, version: chooseVersion(), map };
      // eslint-disable-next-line no-await-in-loop -- one try after the other
      const { outcome } = await this.#sendOrder(rank, command);
      if (outcome === OrderOutcome.Done) return true;
      if (this.#wasPaused) return false;
      // The rank is armed, or an earlier try was executed without an answer.
      // eslint-disable-next-line no-await-in-loop -- one try after the other
      await Promise.all(
        versions.map((version) => this.#sendOrder(rank, { kind: RankOrderKind.Disarm, version })),
      );
    }
    return false;
  }

  /** Releases a held pass at the rank that holds it, by default the first one. */
  async #releasePass(step: number, rank = this.#options.survey.ranks[0]): Promise<boolean> {
    return rank ? this.#executeOrder(rank, { kind: RankOrderKind.Release, step }) : false;
  }

  async #finishSwitch(
    step: number,
    outcome: SwitchOutcome,
    holder?: GroupRank,
  ): Promise<SwitchResult> {
    const isReleased = await this.#releasePass(step, holder);
    return this.#createResult(isReleased ? outcome : SwitchOutcome.Uncertain, 'go');
  }

  #createResult(outcome: SwitchOutcome, stage: string): SwitchResult {
    return { outcome, stage, orders: this.#orders, losses: this.#losses };
  }

  async #prepareAll(version: number, placement: Placement): Promise<boolean> {
    const { ranks } = this.#options.survey;
    const command = { kind: RankOrderKind.Prepare, version, map: placement };
    const prepared = await Promise.all(ranks.map((rank) => this.#executeOrder(rank, command)));
    return prepared.every((isPrepared) => isPrepared) && !this.#wasPaused;
  }

  async #waitForCopies(version: number): Promise<boolean> {
    const endAtMs = performance.now() + COPY_TIMEOUT_MS;
    let copying = [...this.#options.survey.ranks];
    while (copying.length > 0 && performance.now() < endAtMs) {
      // eslint-disable-next-line no-await-in-loop -- polls until the ranks have copied
      await wait(COPY_POLL_INTERVAL_MS);
      // eslint-disable-next-line no-await-in-loop -- see above
      const reports = await Promise.all(copying.map((rank) => this.#readReport(rank)));
      copying = copying.filter((_, at) => reports[at]?.preparedVersion !== version);
      this.#recordProgress();
    }
    return copying.length === 0 && !this.#wasPaused;
  }

  /** @returns the pass that is held now; undefined if no pass is certain to be held */
  async #holdPass(): Promise<number | undefined> {
    const [rank] = this.#options.survey.ranks;
    let triedStep = 0;
    for (let tries = 0; rank && tries < HOLD_TRIES_MAX; tries += 1) {
      // eslint-disable-next-line no-await-in-loop -- one pass after the other
      const report = await this.#readReport(rank);
      if (!report || report.epoch !== this.#options.survey.epoch) return undefined;
      if (report.heldStep !== undefined) return undefined;
      // A pass that could not be held has begun, even if the report is older, and maybe later ones.
      const step = this.#chooseStep(Math.max(report.step, triedStep), 2 ** tries);
      // eslint-disable-next-line no-await-in-loop -- see above
      const isHeld = await this.#executeOrder(rank, { kind: RankOrderKind.Hold, step });
      if (this.#wasPaused) return undefined;
      if (isHeld) return step;
      triedStep = step;
    }
    return undefined;
  }

  /** Estimates the passes in the lead time from the rate of passes since the survey. */
  #estimateLeadPasses(begunStep: number): number {
    const { ranks, takenAtMs } = this.#options.survey;
    const surveyedStep = ranks[0]?.report.step ?? begunStep;
    const spanMs = performance.now() - takenAtMs;
    const leadMs = LEAD_MS + Math.min(COUNTED_LOSSES_MAX, this.#losses) * LEAD_PER_LOSS_MS;
    const passes = Math.ceil(leadMs * ((begunStep - surveyedStep) / Math.max(1, spanMs)));
    return Math.min(LEAD_PASSES_MAX, Math.max(LEAD_PASSES_MIN, passes));
  }

  #chooseStep(begunStep: number, leadFactor: number): number {
    const { entryIndex, entryCount } = this.#options;
    const lead = this.#estimateLeadPasses(begunStep) * leadFactor;
    return findOwnedPass(begunStep + lead, entryIndex, entryCount);
  }

  /** @returns whether the order was executed, by the answered try or by an earlier one */
  async #executeOrder(rank: GroupRank, command: Order): Promise<boolean> {
    const { outcome, tries } = await this.#sendOrder(rank, command);
    if (outcome === OrderOutcome.Done) return true;
    // An earlier try may have been executed although its answer was lost.
    return outcome === OrderOutcome.Refused && tries > 1 && this.#hasTakenEffect(rank, command);
  }

  /** Sends an order until it is answered; a lost one is sent again at once. */
  async #sendOrder(rank: GroupRank, command: Order): Promise<OrderReply> {
    const { caller, survey } = this.#options;
    const fullOrder = { ...command, epoch: survey.epoch };
    for (let tries = 1; tries <= ORDER_TRIES_MAX; tries += 1) {
      if (!this.#recordProgress()) return { outcome: OrderOutcome.Lost, tries };
      // eslint-disable-next-line no-await-in-loop -- one try after the other
      const outcome = await caller.order(rank.upstream.entry, fullOrder);
      this.#orders += 1;
      // Maps to many ranks are sent in turn, so each answer shows that this process is running.
      this.#recordProgress();
      if (outcome !== OrderOutcome.Done) this.#options.onOrderFailure?.(rank, fullOrder, outcome);
      if (outcome !== OrderOutcome.Lost) return { outcome, tries };
      this.#losses += 1;
    }
    return { outcome: OrderOutcome.Lost, tries: ORDER_TRIES_MAX };
  }

  async #hasTakenEffect(rank: GroupRank, command: Order): Promise<boolean> {
    const report = await this.#readReport(rank);
    if (!report || report.epoch !== this.#options.survey.epoch) return false;
    const { kind, version, step } = command;
    if (kind === RankOrderKind.Prepare) return true;
    if (kind === RankOrderKind.Hold) return report.heldStep === step;
    if (kind === RankOrderKind.Release) return report.heldStep !== step;
    if (kind === RankOrderKind.Disarm) return report.armed === undefined;
    return report.armed?.version === version && report.armed?.step === step;
  }

  async #readReport(rank: GroupRank) {
    const report = await this.#options.caller.readReport(rank.upstream.entry);
    return report.ok ? report.val : undefined;
  }

  /** @returns false once this process has been paused, as another entry may act by then */
  #recordProgress(): boolean {
    const nowMs = performance.now();
    if (nowMs - this.#lastProgressAtMs > PAUSE_THRESHOLD_MS) this.#wasPaused = true;
    this.#lastProgressAtMs = nowMs;
    return !this.#wasPaused;
  }
}
