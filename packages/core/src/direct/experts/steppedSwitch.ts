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
import { findOwnPass } from './ownPasses.js';
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
const LOSSES_MAX = 8;

/** Bounds of that in passes, whatever their time. */
const LEAD_PASSES_MIN = 2;
const LEAD_PASSES_MAX = 20;

/** Times that an order without an answer is given again. */
const TRIES_MAX = 40;

/** Time between two looks at a rank that copies. */
const COPY_LOOK_MS = 150;

/** Longest time that ranks may take to copy. */
const COPY_LIMIT_MS = 5_000;

/** Newer versions that a rank is given until it takes one. */
const CLEAR_TRIES_MAX = 5;

/** Holds that are tried, each for a later pass. */
const HOLDS_MAX = 3;

/** Time between two steps after which this process must have been paused; others may act then. */
const PAUSE_LIMIT_MS = 600;

export enum SwitchOutcome {
  Done = 'done',
  /** Nothing was armed; the map in force stays. */
  NotBegun = 'not-begun',
  /** It is not known how it stands: all ranks have to be read. */
  Doubtful = 'doubtful',
}

export interface SwitchResult {
  readonly outcome: SwitchOutcome;
  /** Stage at which it ended. */
  readonly stage: string;
  /** Orders that were given, and those of them that had no answer. */
  readonly orders: number;
  readonly losses: number;
}

export interface SteppedSwitchOptions {
  readonly caller: RankCaller;
  readonly survey: GroupSurvey;
  /**
   * Place of this entry among all, in the order of their names, and their number. Two entries never
   * hold the same pass, and a rank holds one pass at a time, so a hold is a lock.
   */
  readonly entryIndex: number;
  readonly entryCount: number;
  /** Hears of each order that was refused or had no answer. */
  readonly onDoubt?: (rank: GroupRank, command: RankCommand, outcome: OrderOutcome) => void;
}

type Order = Omit<RankCommand, 'epoch'>;

/** How an order ended, and with which try. */
interface Given {
  readonly outcome: OrderOutcome;
  readonly tries: number;
}

/** One switch of one group. */
export class SteppedSwitch {
  readonly #options: SteppedSwitchOptions;

  #steppedAtMs = performance.now();

  #wasPaused = false;

  #orders = 0;

  /** Orders without an answer so far. */
  #losses = 0;

  constructor(options: SteppedSwitchOptions) {
    this.#options = options;
  }

  /** Puts a new map in force. */
  async run(version: number, placement: Placement): Promise<SwitchResult> {
    const isTaken = await this.#prepareAll(version, placement);
    if (!isTaken) return this.#tell(SwitchOutcome.NotBegun, 'prepare');
    const isCopied = await this.#waitForCopies(version);
    if (!isCopied) return this.#tell(SwitchOutcome.NotBegun, 'copy');
    const step = await this.#hold();
    if (step === undefined) return this.#tell(SwitchOutcome.Doubtful, 'hold');
    return this.complete(version, step);
  }

  /** Arms all ranks for a pass that is held, and lets it begin. */
  async complete(version: number, step: number): Promise<SwitchResult> {
    const { ranks } = this.#options.survey;
    const command = { kind: RankOrderKind.Arm, version, step };
    const armed = await Promise.all(ranks.map((rank) => this.#insist(rank, command)));
    if (this.#wasPaused) return this.#tell(SwitchOutcome.Doubtful, 'arm');
    if (armed.every((isArmed) => isArmed)) return this.#finish(step, SwitchOutcome.Done);
    return this.#tell(SwitchOutcome.Doubtful, 'arm');
  }

  /**
   * Lets a held pass begin without a new map, where a rank can no longer be armed.
   *
   * @param versions what ranks may be armed with
   * @param placement the map in force
   * @param chooseVersion gives a version above all that ranks have had, with each call
   */
  async clear(
    { holder, step, versions }: HeldPass,
    placement: Placement,
    chooseVersion: () => number,
  ): Promise<SwitchResult> {
    const { ranks } = this.#options.survey;
    const cleared = await Promise.all(
      ranks.map((rank) => this.#clearRank(rank, versions, placement, chooseVersion)),
    );
    if (this.#wasPaused || !cleared.every((isClear) => isClear)) {
      return this.#tell(SwitchOutcome.Doubtful, 'clear');
    }
    return this.#finish(step, SwitchOutcome.NotBegun, holder);
  }

  /** @returns whether the rank has a newer version for certain, and so cannot be armed */
  async #clearRank(
    rank: GroupRank,
    versions: readonly number[],
    map: Placement,
    chooseVersion: () => number,
  ): Promise<boolean> {
    for (let tries = 0; tries < CLEAR_TRIES_MAX; tries += 1) {
      const command = { kind: RankOrderKind.Prepare, version: chooseVersion(), map };
      // eslint-disable-next-line no-await-in-loop -- one try after the other
      const { outcome } = await this.#give(rank, command);
      if (outcome === OrderOutcome.Done) return true;
      if (this.#wasPaused) return false;
      // It is armed, or an earlier try was carried out without an answer.
      // eslint-disable-next-line no-await-in-loop -- one try after the other
      await Promise.all(
        versions.map((version) => this.#give(rank, { kind: RankOrderKind.Disarm, version })),
      );
    }
    return false;
  }

  /** Lets a held pass begin, at whichever rank holds it. */
  async #release(step: number, rank = this.#options.survey.ranks[0]): Promise<boolean> {
    return rank ? this.#insist(rank, { kind: RankOrderKind.Go, step }) : false;
  }

  async #finish(step: number, outcome: SwitchOutcome, holder?: GroupRank): Promise<SwitchResult> {
    const isReleased = await this.#release(step, holder);
    return this.#tell(isReleased ? outcome : SwitchOutcome.Doubtful, 'go');
  }

  #tell(outcome: SwitchOutcome, stage: string): SwitchResult {
    return { outcome, stage, orders: this.#orders, losses: this.#losses };
  }

  async #prepareAll(version: number, placement: Placement): Promise<boolean> {
    const { ranks } = this.#options.survey;
    const command = { kind: RankOrderKind.Prepare, version, map: placement };
    const taken = await Promise.all(ranks.map((rank) => this.#insist(rank, command)));
    return taken.every((isTaken) => isTaken) && !this.#wasPaused;
  }

  async #waitForCopies(version: number): Promise<boolean> {
    const endAtMs = performance.now() + COPY_LIMIT_MS;
    let open = [...this.#options.survey.ranks];
    while (open.length > 0 && performance.now() < endAtMs) {
      // eslint-disable-next-line no-await-in-loop -- a rank copies for a while
      await wait(COPY_LOOK_MS);
      // eslint-disable-next-line no-await-in-loop -- see above
      const reports = await Promise.all(open.map((rank) => this.#readReport(rank)));
      open = open.filter((_, at) => reports[at]?.preparedVersion !== version);
      this.#noteStep();
    }
    return open.length === 0 && !this.#wasPaused;
  }

  /** @returns the pass that is held now; undefined where that is not certain */
  async #hold(): Promise<number | undefined> {
    const [rank] = this.#options.survey.ranks;
    let triedStep = 0;
    for (let tries = 0; rank && tries < HOLDS_MAX; tries += 1) {
      // eslint-disable-next-line no-await-in-loop -- a pass that has begun is followed by another
      const report = await this.#readReport(rank);
      if (!report || report.epoch !== this.#options.survey.epoch) return undefined;
      if (report.heldStep !== undefined) return undefined;
      // A pass that cannot be held has begun, whatever the report says, and others may have.
      const step = this.#chooseStep(Math.max(report.step, triedStep), 2 ** tries);
      // eslint-disable-next-line no-await-in-loop -- see above
      const isHeld = await this.#insist(rank, { kind: RankOrderKind.Hold, step });
      if (this.#wasPaused) return undefined;
      if (isHeld) return step;
      triedStep = step;
    }
    return undefined;
  }

  /** Passes that are made in the lead time, by those made since the survey. */
  #chooseLead(begunStep: number): number {
    const { ranks, takenAtMs } = this.#options.survey;
    const surveyedStep = ranks[0]?.report.step ?? begunStep;
    const spanMs = performance.now() - takenAtMs;
    const leadMs = LEAD_MS + Math.min(LOSSES_MAX, this.#losses) * LEAD_PER_LOSS_MS;
    const passes = Math.ceil(leadMs * ((begunStep - surveyedStep) / Math.max(1, spanMs)));
    return Math.min(LEAD_PASSES_MAX, Math.max(LEAD_PASSES_MIN, passes));
  }

  #chooseStep(begunStep: number, leadFactor: number): number {
    const { entryIndex, entryCount } = this.#options;
    const lead = this.#chooseLead(begunStep) * leadFactor;
    return findOwnPass(begunStep + lead, entryIndex, entryCount);
  }

  /** @returns whether the order was carried out, by this try or by an earlier one */
  async #insist(rank: GroupRank, command: Order): Promise<boolean> {
    const { outcome, tries } = await this.#give(rank, command);
    if (outcome === OrderOutcome.Done) return true;
    // An earlier try may have been carried out although its answer was lost.
    return outcome === OrderOutcome.Refused && tries > 1 && this.#hasTaken(rank, command);
  }

  /** Gives an order until it is answered; a lost one is given again at once. */
  async #give(rank: GroupRank, command: Order): Promise<Given> {
    const { caller, survey } = this.#options;
    const full = { ...command, epoch: survey.epoch };
    for (let tries = 1; tries <= TRIES_MAX; tries += 1) {
      if (!this.#noteStep()) return { outcome: OrderOutcome.Lost, tries };
      // eslint-disable-next-line no-await-in-loop -- one try after the other
      const outcome = await caller.order(rank.upstream.entry, full);
      this.#orders += 1;
      // Maps to many ranks take their turns: each answer shows that this process goes on.
      this.#noteStep();
      if (outcome !== OrderOutcome.Done) this.#options.onDoubt?.(rank, full, outcome);
      if (outcome !== OrderOutcome.Lost) return { outcome, tries };
      this.#losses += 1;
    }
    return { outcome: OrderOutcome.Lost, tries: TRIES_MAX };
  }

  async #hasTaken(rank: GroupRank, command: Order): Promise<boolean> {
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
  #noteStep(): boolean {
    const nowMs = performance.now();
    if (nowMs - this.#steppedAtMs > PAUSE_LIMIT_MS) this.#wasPaused = true;
    this.#steppedAtMs = nowMs;
    return !this.#wasPaused;
  }
}
