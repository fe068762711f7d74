/**
 * Puts a map in force on all ranks of a group as one pass begins.
 *
 * All ranks copy the map's experts. Then one rank holds a pass some way ahead, all ranks are armed
 * for that pass, and only when every one has confirmed it is the pass let begin. As the group makes
 * passes only together, none begins while a rank is not armed.
 *
 * An order without an answer may be carried out seconds later. Each is therefore one that does no
 * harm then: a late `prepare` has too low a version, a late `arm`, `hold` or `go` is for a pass
 * that has begun. A switch whose pass is held is completed wherever that is possible. Where a rank
 * can no longer be armed, the pass may begin only once no other rank can be armed any more either:
 * a `disarm` could be followed by an `arm` that is still under way, so each rank is given a newer
 * version, which takes the place of the one that could be armed.
 */
import type { GroupRank, GroupSurvey, HeldPass } from './groupSurvey.js';
import { findOwnedPass } from './passOwnership.js';
import { OrderOutcome, RankOrderKind, type RankCaller, type RankCommand } from './rankCaller.js';
import type { Placement } from './mapSearch.js';
import { wait } from '../../wait.js';

/**
 * Time between the last pass that a rank told of and the one that is held: reports are a fifth of
 * a second old, and orders to all ranks take some milliseconds.
 */
const LEAD_MS = 300;

/** What each order that was lost on the way adds to it: others will be, and are given again. */
const LEAD_PER_LOSS_MS = 100;
const COUNTED_LOSSES_MAX = 8;

/** Bounds of that in passes, whatever their time. */
const LEAD_PASSES_MIN = 2;
const LEAD_PASSES_MAX = 20;

/** Times that an order without an answer is given again. */
const ORDER_TRIES_MAX = 40;

/** Time between two looks at a rank that copies. */
const COPY_POLL_INTERVAL_MS = 150;

/** Longest time that ranks may take to copy. */
const COPY_TIMEOUT_MS = 5_000;

/** Newer versions that a rank is given until it takes one. */
const SUPERSEDE_TRIES_MAX = 5;

/** Holds that are tried, each for a later pass. */
const HOLD_TRIES_MAX = 3;

/** Time between two steps after which this process must have been paused; others may act then. */
const PAUSE_LIMIT_MS = 600;

export enum SwitchOutcome {
  Done = 'done',
  /** Nothing was armed; the map in force stays. */
  NotBegun = 'not-begun',
  /** It is not known how it stands: all ranks have to be read. */
  Uncertain = 'doubtful',
}

export interface SwitchResult {
  readonly outcome: SwitchOutcome;
  /** Stage at which it ended. */
  readonly stage: string;
  /** Orders that were given, and those of them that had no answer. */
  readonly orders: number;
  readonly losses: number;
}

export interface BarrierSwitchOptions {
  readonly caller: RankCaller;
  readonly survey: GroupSurvey;
  /**
   * Place of this entry among all, in the order of their names, and their number. Two entries never
   * hold the same pass, and a rank holds one pass at a time, so a hold is a lock.
   */
  readonly entryIndex: number;
  readonly entryCount: number;
  /** Hears of each order that was refused or had no answer. */
  readonly onOrderFailure?: (rank: GroupRank, command: RankCommand, outcome: OrderOutcome) => void;
}

type Order = Omit<RankCommand, 'epoch'>;

/** How an order ended, and with which try. */
interface OrderReply {
  readonly outcome: OrderOutcome;
  readonly tries: number;
}

/** One switch of one group. */
export class BarrierSwitch {
  readonly #options: BarrierSwitchOptions;

  #lastProgressAtMs = performance.now();

  #wasPaused = false;

  #orders = 0;

  /** Orders without an answer so far. */
  #losses = 0;

  constructor(options: BarrierSwitchOptions) {
    this.#options = options;
  }

  /** Puts a new map in force. */
  async run(version: number, placement: Placement): Promise<SwitchResult> {
    const isPrepared = await this.#prepareAll(version, placement);
    if (!isPrepared) return this.#createResult(SwitchOutcome.NotBegun, 'prepare');
    const isCopied = await this.#waitForCopies(version);
    if (!isCopied) return this.#createResult(SwitchOutcome.NotBegun, 'copy');
    const step = await this.#holdPass();
    if (step === undefined) return this.#createResult(SwitchOutcome.Uncertain, 'hold');
    return this.complete(version, step);
  }

  /** Arms all ranks for a pass that is held, and lets it begin. */
  async complete(version: number, step: number): Promise<SwitchResult> {
    const { ranks } = this.#options.survey;
    const command = { kind: RankOrderKind.Arm, version, step };
    const armed = await Promise.all(ranks.map((rank) => this.#executeOrder(rank, command)));
    if (this.#wasPaused) return this.#createResult(SwitchOutcome.Uncertain, 'arm');
    if (armed.every((isArmed) => isArmed)) return this.#finishSwitch(step, SwitchOutcome.Done);
    return this.#createResult(SwitchOutcome.Uncertain, 'arm');
  }

  /**
   * Lets a held pass begin without a new map, where a rank can no longer be armed.
   *
   * @param versions what ranks may be armed with
   * @param placement the map in force
   * @param chooseVersion gives a version above all that ranks have had, with each call
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

  /** @returns whether the rank has a newer version for certain, and so cannot be armed */
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
      // It is armed, or an earlier try was carried out without an answer.
      // eslint-disable-next-line no-await-in-loop -- one try after the other
      await Promise.all(
        versions.map((version) => this.#sendOrder(rank, { kind: RankOrderKind.Disarm, version })),
      );
    }
    return false;
  }

  /** Lets a held pass begin, at whichever rank holds it. */
  async #releasePass(step: number, rank = this.#options.survey.ranks[0]): Promise<boolean> {
    return rank ? this.#executeOrder(rank, { kind: RankOrderKind.Go, step }) : false;
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
      // eslint-disable-next-line no-await-in-loop -- a rank copies for a while
      await wait(COPY_POLL_INTERVAL_MS);
      // eslint-disable-next-line no-await-in-loop -- see above
      const reports = await Promise.all(copying.map((rank) => this.#readReport(rank)));
      copying = copying.filter((_, at) => reports[at]?.preparedVersion !== version);
      this.#recordProgress();
    }
    return copying.length === 0 && !this.#wasPaused;
  }

  /** @returns the pass that is held now; undefined where that is not certain */
  async #holdPass(): Promise<number | undefined> {
    const [rank] = this.#options.survey.ranks;
    let triedStep = 0;
    for (let tries = 0; rank && tries < HOLD_TRIES_MAX; tries += 1) {
      // eslint-disable-next-line no-await-in-loop -- a pass that has begun is followed by another
      const report = await this.#readReport(rank);
      if (!report || report.epoch !== this.#options.survey.epoch) return undefined;
      if (report.heldStep !== undefined) return undefined;
      // A pass that cannot be held has begun, whatever the report says, and others may have.
      const step = this.#chooseStep(Math.max(report.step, triedStep), 2 ** tries);
      // eslint-disable-next-line no-await-in-loop -- see above
      const isHeld = await this.#executeOrder(rank, { kind: RankOrderKind.Hold, step });
      if (this.#wasPaused) return undefined;
      if (isHeld) return step;
      triedStep = step;
    }
    return undefined;
  }

  /** Passes that are made in the lead time, by those made since the survey. */
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

  /** @returns whether the order was carried out, by this try or by an earlier one */
  async #executeOrder(rank: GroupRank, command: Order): Promise<boolean> {
    const { outcome, tries } = await this.#sendOrder(rank, command);
    if (outcome === OrderOutcome.Done) return true;
    // An earlier try may have been carried out although its answer was lost.
    return outcome === OrderOutcome.Refused && tries > 1 && this.#hasTakenEffect(rank, command);
  }

  /** Gives an order until it is answered; a lost one is given again at once. */
  async #sendOrder(rank: GroupRank, command: Order): Promise<OrderReply> {
    const { caller, survey } = this.#options;
    const orderWithEpoch = { ...command, epoch: survey.epoch };
    for (let tries = 1; tries <= ORDER_TRIES_MAX; tries += 1) {
      if (!this.#recordProgress()) return { outcome: OrderOutcome.Lost, tries };
      // eslint-disable-next-line no-await-in-loop -- one try after the other
      const outcome = await caller.order(rank.upstream.entry, orderWithEpoch);
      this.#orders += 1;
      // Maps to many ranks take their turns: each answer shows that this process goes on.
      this.#recordProgress();
      if (outcome !== OrderOutcome.Done) this.#options.onOrderFailure?.(rank, orderWithEpoch, outcome);
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
    if (kind === RankOrderKind.Go) return report.heldStep !== step;
    if (kind === RankOrderKind.Disarm) return report.armed === undefined;
    return report.armed?.version === version && report.armed?.step === step;
  }

  async #readReport(rank: GroupRank) {
    const report = await this.#options.caller.readReport(rank.upstream.entry);
    return report.ok ? report.val : undefined;
  }

  /** @returns false once this process has been paused: another one may act by now */
  #recordProgress(): boolean {
    const nowMs = performance.now();
    if (nowMs - this.#lastProgressAtMs > PAUSE_LIMIT_MS) this.#wasPaused = true;
    this.#lastProgressAtMs = nowMs;
    return !this.#wasPaused;
  }
}
