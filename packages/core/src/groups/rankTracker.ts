/** Follows the slowness of one rank and chooses the answer to it, with hysteresis. */

/** Answers to a slow rank, mildest first. */
export enum StragglerMitigation {
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

const MITIGATIONS = Object.values(StragglerMitigation);

const MOVE_EXPERTS_LEVEL = MITIGATIONS.indexOf(StragglerMitigation.MoveExperts);
const LEAVE_ROUTING_LEVEL = MITIGATIONS.indexOf(StragglerMitigation.LeaveRouting);

/** One rank's slowness over time. */
export class RankTracker {
  readonly #limits: StragglerLimits;

  #slowness = 1;

  #slowWindows = 0;

  #normalWindows = 0;

  #level = 0;

  constructor(limits: StragglerLimits) {
    this.#limits = limits;
  }

  /** Smoothed measured time against explained time; 1 is normal. */
  get slowness(): number {
    return this.#slowness;
  }

  get mitigation(): StragglerMitigation {
    return MITIGATIONS[this.#level] ?? StragglerMitigation.None;
  }

  /** Whether the answer is this one or a stronger one. */
  isAtLeast(mitigation: StragglerMitigation): boolean {
    return this.#level >= MITIGATIONS.indexOf(mitigation);
  }

  /**
   * Takes one window in.
   *
   * @param ratio measured time against explained time, in units of the group's median
   */
  addWindow(ratio: number, canPoolSpareGroup: boolean): void {
    const { smoothing, slowAbove, normalBelow, raiseWindows, lowerWindows } = this.#limits;
    this.#slowness += smoothing * (ratio - this.#slowness);
    this.#slowWindows = this.#slowness > slowAbove ? this.#slowWindows + 1 : 0;
    this.#normalWindows = this.#slowness < normalBelow ? this.#normalWindows + 1 : 0;
    if (this.#slowWindows >= raiseWindows) this.#raise();
    if (this.#normalWindows >= lowerWindows) this.#lower();
    // A group that is needed stays in routing, or comes back, however slow it is.
    if (this.#level === LEAVE_ROUTING_LEVEL && !canPoolSpareGroup) this.#level = MOVE_EXPERTS_LEVEL;
  }

  #raise(): void {
    this.#slowWindows = 0;
    const canLeave = this.#slowness > this.#limits.leaveAbove;
    const highest = canLeave ? LEAVE_ROUTING_LEVEL : Math.max(this.#level, MOVE_EXPERTS_LEVEL);
    this.#level = Math.min(this.#level + 1, highest);
  }

  #lower(): void {
    this.#normalWindows = 0;
    this.#level = Math.max(0, this.#level - 1);
  }
}
