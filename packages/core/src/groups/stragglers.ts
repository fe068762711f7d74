/**
 * Tells a rank that is slow for its own load from one that is merely loaded, and answers.
 *
 * A rank's measured time is compared with the time that its batch and its tokens explain; the
 * median of the group absorbs whatever slows all ranks alike. Answers go up one rung at a time, as
 * long as the rank stays slow, and down one rung at a time once it has been normal for longer.
 */

import { RankTracker, StragglerMitigation, type StragglerLimits } from './rankTracker.js';

/** Measurements of one rank over a window; times are means of a step. */
export interface RankTiming {
  readonly rank: number;
  readonly computeMs: number;
  readonly batch: number;
  readonly tokens: number;
}

export interface StragglerOptions extends StragglerLimits {
  /** Time of one request in the batch. */
  readonly batchMs: number;
  /** Time of one token at an expert. */
  readonly tokenMs: number;
}

/** What routing and the planner read of one rank. */
export interface RankHealth {
  readonly rank: number;
  /** Measured against explained time; 1 is normal. */
  readonly slowness: number;
  readonly mitigation: StragglerMitigation;
  /** Share of requests that routing gives the rank, 1 where it is normal. */
  readonly requestWeight: number;
  /** Speed that the planner reckons with. */
  readonly speed: number;
}

/** Requests never fall below this share: a rank without any could not show that it recovered. */
const MIN_REQUEST_WEIGHT = 0.1;

function findMedian(values: readonly number[]): number {
  const sorted = [...values].sort((first, second) => first - second);
  const middle = Math.floor(sorted.length / 2);
  const upper = sorted[middle] ?? 1;
  if (sorted.length % 2 === 1) return upper;
  return (upper + (sorted[middle - 1] ?? upper)) / 2;
}

/** Follows the ranks of one group. */
export class Stragglers {
  readonly #options: StragglerOptions;

  readonly #trackers: readonly RankTracker[];

  constructor(ranks: number, options: StragglerOptions) {
    this.#options = options;
    this.#trackers = Array.from({ length: ranks }, () => new RankTracker(options));
  }

  /** Health of each rank. */
  get health(): readonly RankHealth[] {
    return this.#trackers.map((tracker, rank) => {
      const speed = 1 / Math.max(1, tracker.slowness);
      return {
        rank,
        slowness: tracker.slowness,
        mitigation: tracker.mitigation,
        requestWeight: tracker.isAtLeast(StragglerMitigation.MoveRequests)
          ? Math.max(MIN_REQUEST_WEIGHT, speed)
          : 1,
        speed: tracker.isAtLeast(StragglerMitigation.MoveExperts) ? speed : 1,
      };
    });
  }

  /** Whether the group should be out of routing. */
  get isLeaveDue(): boolean {
    return this.#trackers.some((tracker) => tracker.isAtLeast(StragglerMitigation.LeaveRouting));
  }

  /**
   * Takes one window in; an incomplete one changes nothing.
   *
   * @param canPoolSpareGroup whether the rest of the pool can do without this group
   */
  step(timings: readonly RankTiming[], canPoolSpareGroup: boolean): void {
    if (timings.length !== this.#trackers.length) return;
    const ratios = timings.map((timing) => timing.computeMs / this.#computeExpectedMs(timing));
    const median = findMedian(ratios);
    timings.forEach((timing, index) => {
      this.#trackers[timing.rank]?.addWindow((ratios[index] ?? 1) / median, canPoolSpareGroup);
    });
  }

  #computeExpectedMs(timing: RankTiming): number {
    const { batchMs, tokenMs } = this.#options;
    return Math.max(Number.EPSILON, timing.batch * batchMs + timing.tokens * tokenMs);
  }
}
