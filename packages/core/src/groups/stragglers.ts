/**
 * Tells a rank that is slow for its own load from one that is merely loaded, and answers.
 *
 * A rank's measured time is compared with the time that its batch and its tokens explain; the
 * median of the group absorbs whatever slows all ranks alike. Answers go up one rung at a time, as
 * long as the rank stays slow, and down one rung at a time once it has been normal for longer.
 */

import { RankTrack, StragglerAnswer, type StragglerLimits } from './rankTrack.js';

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
  readonly answer: StragglerAnswer;
  /** Share of requests that routing gives the rank, 1 where it is normal. */
  readonly requestWeight: number;
  /** Speed that the planner reckons with. */
  readonly speed: number;
}

/** Requests never fall below this share: a rank without any could not show that it recovered. */
const MIN_WEIGHT = 0.1;

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

  readonly #tracks: readonly RankTrack[];

  constructor(ranks: number, options: StragglerOptions) {
    this.#options = options;
    this.#tracks = Array.from({ length: ranks }, () => new RankTrack(options));
  }

  /** Health of each rank. */
  get health(): readonly RankHealth[] {
    return this.#tracks.map((track, rank) => {
      const speed = 1 / Math.max(1, track.slowness);
      return {
        rank,
        slowness: track.slowness,
        answer: track.answer,
        requestWeight: track.isAtLeast(StragglerAnswer.MoveRequests)
          ? Math.max(MIN_WEIGHT, speed)
          : 1,
        speed: track.isAtLeast(StragglerAnswer.MoveExperts) ? speed : 1,
      };
    });
  }

  /** Whether the group should be out of routing. */
  get isLeaveDue(): boolean {
    return this.#tracks.some((track) => track.isAtLeast(StragglerAnswer.LeaveRouting));
  }

  /**
   * Takes one window in; an incomplete one changes nothing.
   *
   * @param canOthersCarry whether the rest of the pool can do without this group
   */
  step(timings: readonly RankTiming[], canOthersCarry: boolean): void {
    if (timings.length !== this.#tracks.length) return;
    const ratios = timings.map((timing) => timing.computeMs / this.#explain(timing));
    const median = findMedian(ratios);
    timings.forEach((timing, index) => {
      this.#tracks[timing.rank]?.follow((ratios[index] ?? 1) / median, canOthersCarry);
    });
  }

  #explain(timing: RankTiming): number {
    const { batchMs, tokenMs } = this.#options;
    return Math.max(Number.EPSILON, timing.batch * batchMs + timing.tokens * tokenMs);
  }
}
