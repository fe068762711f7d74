/**
 * Detects a cold upstream from its times to first byte, whatever its load report claims.
 *
 * A cold engine is slow for every request, so nearly all of the latest samples must be far above
 * the baseline: a few long prompts among short ones do not suffice. Silence counts as well, so that
 * an engine that has stopped responding is detected before any slow sample arrives.
 */

/** Number of latest samples that are evaluated together. */
const WINDOW_SAMPLES = 5;

/** Most fast samples in the window with which the upstream still counts as cold. */
const MAX_FAST_SAMPLES = 1;

/** Number of samples before the baseline is used. */
const BASELINE_MIN_SAMPLES = 8;

/** A sample is slow from this multiple of the baseline, plus {@link SLOW_MARGIN_MS}. */
const SLOW_RATIO = 3;

/** Differences to the baseline below this time are treated as noise. */
const SLOW_MARGIN_MS = 20;

/** Fewest attempts waiting for their first byte for which silence counts. */
const SILENCE_MIN_WAITING = 2;

/** Weight of a normal sample in the baseline. */
const BASELINE_WEIGHT = 0.05;

/** Weight of a slow sample: the baseline follows a lasting change of the workload slowly. */
const BASELINE_SLOW_WEIGHT = 0.005;

/** Attempts that are waiting for their first byte. */
export interface WaitingAttempts {
  readonly count: number;
  /** Time since the oldest of them was started. */
  readonly longestWaitMs: number;
}

/** Compares recent times to first byte with a moving baseline. */
export class ColdUpstreamDetector {
  #recentMs: number[] = [];

  #baselineMs: number | undefined;

  #sampleCount = 0;

  #lastSampleAtMs = Number.NEGATIVE_INFINITY;

  /** Adds the time to first byte of one attempt. */
  addSample(sampleMs: number, nowMs: number): void {
    this.#lastSampleAtMs = nowMs;
    this.#recentMs = [...this.#recentMs, sampleMs].slice(-WINDOW_SAMPLES);
    this.#sampleCount += 1;
    this.#updateBaseline(sampleMs);
  }

  /** Whether recent samples or the current silence indicate a cold upstream. */
  isCold(waiting: WaitingAttempts, nowMs: number): boolean {
    return this.#isWindowSlow || this.#isSilent(waiting, nowMs);
  }

  get #slowThresholdMs(): number {
    if (this.#baselineMs === undefined || this.#sampleCount < BASELINE_MIN_SAMPLES) return Infinity;
    return this.#baselineMs * SLOW_RATIO + SLOW_MARGIN_MS;
  }

  get #isWindowSlow(): boolean {
    if (this.#recentMs.length < WINDOW_SAMPLES) return false;
    const fast = this.#recentMs.filter((sampleMs) => sampleMs < this.#slowThresholdMs);
    return fast.length <= MAX_FAST_SAMPLES;
  }

  #isSilent(waiting: WaitingAttempts, nowMs: number): boolean {
    if (waiting.count < SILENCE_MIN_WAITING) return false;
    const silentMs = Math.min(waiting.longestWaitMs, nowMs - this.#lastSampleAtMs);
    return silentMs >= this.#slowThresholdMs;
  }

  #updateBaseline(sampleMs: number): void {
    const baselineMs = this.#baselineMs ?? sampleMs;
    const weight = sampleMs < this.#slowThresholdMs ? BASELINE_WEIGHT : BASELINE_SLOW_WEIGHT;
    const appliedWeight = Math.max(weight, this.#sampleCount < BASELINE_MIN_SAMPLES ? 0.3 : 0);
    this.#baselineMs = baselineMs + appliedWeight * (sampleMs - baselineMs);
  }
}
