/**
 * Tells from the times to the first byte of answers that an upstream is cold, whatever it reports.
 *
 * A cold engine is slow for every request, so nearly all of the latest times must be far above the
 * usual one: a few long prompts among short ones do not suffice. A silence counts as well, so that
 * an engine that answers nothing any more is noticed before its answers come.
 */

/** Samples that are looked at together. */
const WINDOW_SAMPLES = 5;

/** Samples of the window that may be fast while the upstream counts as cold. */
const MAX_FAST_SAMPLES = 1;

/** Samples after which there is a usual time. */
const BASELINE_MIN_SAMPLES = 8;

/** A time is slow from this multiple of the usual one on. */
const SLOW_RATIO = 3;

/** Differences below this time say nothing. */
const SLOW_MARGIN_MS = 20;

/** Attempts that have to wait for their first byte before a silence counts. */
const SILENCE_MIN_WAITING = 2;

/** Share by which a sample moves the usual time. */
const BASELINE_WEIGHT = 0.05;

/** The same for a slow sample: a lasting change of the work becomes usual in the end. */
const BASELINE_SLOW_WEIGHT = 0.005;

/** Attempts that wait for their first byte. */
export interface WaitingAttempts {
  readonly count: number;
  /** Time since the first of them was started. */
  readonly longestWaitMs: number;
}

/** Compares times to the first byte with what they usually are. */
export class ColdUpstreamDetector {
  #recentMs: number[] = [];

  #baselineMs: number | undefined;

  #sampleCount = 0;

  #lastSampleAtMs = Number.NEGATIVE_INFINITY;

  /** Takes the time to one first byte in. */
  addSample(sampleMs: number, nowMs: number): void {
    this.#lastSampleAtMs = nowMs;
    this.#recentMs = [...this.#recentMs, sampleMs].slice(-WINDOW_SAMPLES);
    this.#sampleCount += 1;
    this.#updateBaseline(sampleMs);
  }

  /** Whether the upstream behaves as a cold one does. */
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
