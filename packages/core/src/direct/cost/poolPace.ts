/**
 * Finds the upstreams of a pool that are slower than the others, by the pauses of this entry's
 * streams.
 *
 * Each upstream's mean pause is compared with the median of the pool's at the same time, as passes
 * of all of them become longer under load. Where each upstream has passes of its own, the time that
 * a pass takes at its load is allowed for. Ranks of a group advance together, and the in-flight
 * limit falls with their passes: there a slow group is only chosen less, and keeps its limit.
 */
import type { DirectUpstream } from '../directUpstream.js';

/** Interval between comparisons, in milliseconds: a few passes. */
const COMPARE_MS = 250;

/** Ratio from which an upstream counts as slow; uneven load alone makes less. */
const SLOW_MIN = 1.5;

/** Ratio down to which a slow upstream still counts as slow. */
const STILL_SLOW_MIN = 1.15;

/** Relative step by which the usual pause follows each one: a shift shows within a pass or two. */
const USUAL_STEP = 0.05;

/** Largest ratio that is believed: a stalled stream is no measure of the pace. */
const RATIO_MAX = 6;

/** Upstreams that have to be comparable for their median to stand for the pool. */
const COMPARABLE_MIN = 3;

/** A pause between two events of a stream. */
export interface UpstreamPause {
  readonly upstream: DirectUpstream;
  readonly pauseMs: number;
  /** Time of a pass at the upstream's load by the costs of its engine. */
  readonly expectedMs: number;
}

/** Comparison of the upstreams of one pool. */
export class PoolPace {
  readonly #isGroup: boolean;

  #comparedAtMs = Number.NEGATIVE_INFINITY;

  /** Running median of the pauses of all upstreams. */
  #usual = 0;

  /** Upstreams that this entry has had pauses at since the last comparison. */
  readonly #active = new Set<DirectUpstream>();

  /** @param isGroup whether the pool's upstreams advance together */
  constructor(isGroup: boolean) {
    this.#isGroup = isGroup;
  }

  /**
   * Records a pause between two events.
   *
   * @returns whether the pause tells about the whole pool, not only about a slow upstream
   */
  notePause({ upstream, pauseMs, expectedMs }: UpstreamPause, nowMs: number): boolean {
    const relative = this.#isGroup ? pauseMs : pauseMs / expectedMs;
    upstream.pace.notePause(relative, nowMs);
    this.#active.add(upstream);
    if (nowMs - this.#comparedAtMs >= COMPARE_MS) this.#compare(nowMs);
    const limit = (this.#usual || relative) * SLOW_MIN;
    this.#followUsual(relative);
    return this.#isGroup || relative <= limit || upstream.pace.mean <= limit;
  }

  #followUsual(relative: number): void {
    if (this.#usual === 0) this.#usual = relative;
    else this.#usual *= relative > this.#usual ? 1 + USUAL_STEP : 1 / (1 + USUAL_STEP);
  }

  #compare(nowMs: number): void {
    this.#comparedAtMs = nowMs;
    const means = [...this.#active].flatMap(({ pace }) => {
      const mean = pace.readMean(nowMs);
      return mean === undefined ? [] : [{ pace, mean }];
    });
    this.#active.clear();
    if (means.length < COMPARABLE_MIN) return;
    const sorted = means.map(({ mean }) => mean).sort((a, b) => a - b);
    const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
    means.forEach(({ pace, mean }) => {
      const ratio = Math.min(RATIO_MAX, mean / median);
      const leastSlow = pace.readSlowdown(nowMs) > STILL_SLOW_MIN ? STILL_SLOW_MIN : SLOW_MIN;
      const slowdown = ratio < leastSlow ? 1 : ratio;
      if (this.#isGroup) pace.noteRecent(slowdown, nowMs);
      else pace.noteSlowdown(slowdown, nowMs);
    });
  }
}
