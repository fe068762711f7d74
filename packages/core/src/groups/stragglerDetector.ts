/**
 * Detects stragglers, that is ranks that are slow for their load, and chooses their mitigation.
 *
 * A rank's measured time is divided by the time expected for its batch and tokens, and by the
 * median of the group, which cancels whatever slows all ranks equally. The mitigation rises one
 * level at a time while the rank stays slow, and falls one level at a time after it has been normal
 * for longer.
 */

import { RankTracker, StragglerMitigation, type StragglerLimits } from './rankTracker.js';

/** Measurements of one rank over a window; values are means per step. */
export interface RankTiming {
  readonly rank: number;
  readonly computeMs: number;
  /** Requests in the batch. */
  readonly batch: number;
  /** Tokens at the rank's experts. */
  readonly tokens: number;
}

export interface StragglerOptions extends StragglerLimits {
  /** Expected time per request in the batch. */
  readonly batchMs: number;
  /** Expected time per token at an expert. */
  readonly tokenMs: number;
}

/** State of one rank for routing and the planner. */
export interface RankHealth {
  readonly rank: number;
  /** Smoothed ratio of measured to expected time; 1 is normal. */
  readonly slowness: number;
  readonly mitigation: StragglerMitigation;
  /** Weight of the rank in routing; 1 is normal. */
  readonly requestWeight: number;
  /** Speed of the rank that the planner uses; 1 is normal. */
  readonly speed: number;
}

/** Lowest request weight: a rank without requests could not show that it has recovered. */
const MIN_REQUEST_WEIGHT = 0.1;

function findMedian(values: readonly number[]): number {
  const sorted = [...values].sort((first, second) => first - second);
  const middle = Math.floor(sorted.length / 2);
  const upper = sorted[middle] ?? 1;
  if (sorted.length % 2 === 1) return upper;
  return (upper + (sorted[middle - 1] ?? upper)) / 2;
}

/** Tracks the ranks of one group. */
export class StragglerDetector {
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

  /** Whether the group should be taken out of routing. */
  get isLeaveDue(): boolean {
    return this.#trackers.some((tracker) => tracker.isAtLeast(StragglerMitigation.LeaveRouting));
  }

  /**
   * Adds one window; a window without the timings of all ranks changes nothing.
   *
   * @param canPoolSpareGroup whether the rest of the pool can serve the load without this group
   */
  addWindow(timings: readonly RankTiming[], canPoolSpareGroup: boolean): void {
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
