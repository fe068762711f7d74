/** Tracks the slowness of one rank and chooses the mitigation for it, with hysteresis. */

/** Mitigations for a slow rank, mildest first. */
export enum StragglerMitigation {
  None = 'none',
  /** Routing sends fewer requests to the rank. */
  MoveRequests = 'move-requests',
  /** The planner also moves experts so that fewer tokens reach the rank. */
  MoveExperts = 'move-experts',
  /** The whole group is taken out of routing. */
  LeaveRouting = 'leave-routing',
}

/** Thresholds of the straggler detection. */
export interface StragglerLimits {
  /** Slowness above which a rank counts as slow. */
  readonly slowAbove: number;
  /** Slowness below which a rank counts as normal again. */
  readonly normalBelow: number;
  /** Consecutive slow windows that raise the mitigation by one level. */
  readonly raiseWindows: number;
  /** Consecutive normal windows that lower the mitigation by one level. */
  readonly lowerWindows: number;
  /** Slowness above which the whole group may leave routing. */
  readonly leaveAbove: number;
  /** Weight of the newest window in the smoothed slowness. */
  readonly smoothing: number;
}

const MITIGATIONS = Object.values(StragglerMitigation);

const MOVE_EXPERTS_LEVEL = MITIGATIONS.indexOf(StragglerMitigation.MoveExperts);
const LEAVE_ROUTING_LEVEL = MITIGATIONS.indexOf(StragglerMitigation.LeaveRouting);

/** Slowness of one rank over time. */
export class RankTracker {
  readonly #limits: StragglerLimits;

  #slowness = 1;

  #slowWindows = 0;

  #normalWindows = 0;

  #level = 0;

  constructor(limits: StragglerLimits) {
    this.#limits = limits;
  }

  /** Smoothed ratio of measured to expected time, relative to the group's median; 1 is normal. */
  get slowness(): number {
    return this.#slowness;
  }

  get mitigation(): StragglerMitigation {
    return MITIGATIONS[this.#level] ?? StragglerMitigation.None;
  }

  /** Whether the current mitigation is the given one or a stronger one. */
  isAtLeast(mitigation: StragglerMitigation): boolean {
    return this.#level >= MITIGATIONS.indexOf(mitigation);
  }

  /**
   * Adds the measurement of one window.
   *
   * @param ratio measured to expected time, relative to the group's median
   * @param canPoolSpareGroup whether the rest of the pool can serve the load without this group
   */
  addWindow(ratio: number, canPoolSpareGroup: boolean): void {
    const { smoothing, slowAbove, normalBelow, raiseWindows, lowerWindows } = this.#limits;
    this.#slowness += smoothing * (ratio - this.#slowness);
    this.#slowWindows = this.#slowness > slowAbove ? this.#slowWindows + 1 : 0;
    this.#normalWindows = this.#slowness < normalBelow ? this.#normalWindows + 1 : 0;
    if (this.#slowWindows >= raiseWindows) this.#raise();
    if (this.#normalWindows >= lowerWindows) this.#lower();
    // A group that the pool needs stays in routing or returns to it, however slow it is.
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
