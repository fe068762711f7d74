/** Follows the slowness of one rank and chooses the answer to it, with hysteresis. */

/** Answers to a slow rank, mildest first. */
export enum StragglerAnswer {
  None = 'none',
  /** Routing gives the rank fewer requests. */
  MoveRequests = 'move-requests',
  /** The planner also gives it fewer tokens. */
  MoveExperts = 'move-experts',
  /** The whole group is taken out of routing. */
  LeaveRouting = 'leave-routing',
}

export interface StragglerLimits {
  /** Slowness above which a rank counts as slow, and below which it counts as normal again. */
  readonly slowAbove: number;
  readonly normalBelow: number;
  /** Windows in a row that raise the answer by one rung, and that lower it. */
  readonly raiseWindows: number;
  readonly lowerWindows: number;
  /** Slowness from which the last rung is considered. */
  readonly leaveAbove: number;
  /** Weight of the newest window in the smoothed slowness. */
  readonly smoothing: number;
}

const RUNGS = Object.values(StragglerAnswer);

const RUNG_EXPERTS = RUNGS.indexOf(StragglerAnswer.MoveExperts);
const RUNG_LEAVE = RUNGS.indexOf(StragglerAnswer.LeaveRouting);

/** One rank's slowness over time. */
export class RankTrack {
  readonly #limits: StragglerLimits;

  #slowness = 1;

  #slowWindows = 0;

  #normalWindows = 0;

  #rung = 0;

  constructor(limits: StragglerLimits) {
    this.#limits = limits;
  }

  /** Smoothed measured time against explained time; 1 is normal. */
  get slowness(): number {
    return this.#slowness;
  }

  get answer(): StragglerAnswer {
    return RUNGS[this.#rung] ?? StragglerAnswer.None;
  }

  /** Whether the answer is this one or a stronger one. */
  isAtLeast(answer: StragglerAnswer): boolean {
    return this.#rung >= RUNGS.indexOf(answer);
  }

  /**
   * Takes one window in.
   *
   * @param ratio measured time against explained time, in units of the group's median
   */
  follow(ratio: number, canOthersCarry: boolean): void {
    const { smoothing, slowAbove, normalBelow, raiseWindows, lowerWindows } = this.#limits;
    this.#slowness += smoothing * (ratio - this.#slowness);
    this.#slowWindows = this.#slowness > slowAbove ? this.#slowWindows + 1 : 0;
    this.#normalWindows = this.#slowness < normalBelow ? this.#normalWindows + 1 : 0;
    if (this.#slowWindows >= raiseWindows) this.#raise();
    if (this.#normalWindows >= lowerWindows) this.#lower();
    // A group that is needed stays in routing, or comes back, however slow it is.
    if (this.#rung === RUNG_LEAVE && !canOthersCarry) this.#rung = RUNG_EXPERTS;
  }

  #raise(): void {
    this.#slowWindows = 0;
    const mayLeave = this.#slowness > this.#limits.leaveAbove;
    const highest = mayLeave ? RUNG_LEAVE : Math.max(this.#rung, RUNG_EXPERTS);
    this.#rung = Math.min(this.#rung + 1, highest);
  }

  #lower(): void {
    this.#normalWindows = 0;
    this.#rung = Math.max(0, this.#rung - 1);
  }
}
