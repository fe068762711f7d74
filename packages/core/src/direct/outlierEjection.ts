/**
 * Outlier ejection: excludes an upstream by the results that this entry has observed.
 *
 * Handles an upstream that fails part of its requests while it reports itself as healthy: two
 * failures with few successes between them eject it for a time that doubles.
 */

/** Score from which an upstream is ejected; each failure adds 1. */
const EJECTION_SCORE = 2;

/** Factor by which a success reduces the score. */
const SUCCESS_FACTOR = 0.7;

/** Score after an ejection, at which one more failure ejects the upstream again. */
const SCORE_AFTER_EJECTION = 1;

/**
 * First ejection time, in milliseconds: several latency targets of callers, yet short, as a single
 * glitch should cost little.
 */
const EJECTION_MIN_MS = 700;

/** Longest ejection time, in milliseconds: about the time in which a restarted upstream is back. */
const EJECTION_MAX_MS = 4_000;

const EJECTION_GROWTH_FACTOR = 2;

/** Score below which the next ejection has the shortest time again. */
const RESET_SCORE = 0.2;

/** Outlier ejection of one upstream. */
export class OutlierEjection {
  #failureScore = 0;

  #nextEjectionMs = EJECTION_MIN_MS;

  #ejectedUntilMs = Number.NEGATIVE_INFINITY;

  isEjected(nowMs: number): boolean {
    return nowMs < this.#ejectedUntilMs;
  }

  /** Remaining ejection time in milliseconds. */
  readEjectedMs(nowMs: number): number {
    return Math.max(0, this.#ejectedUntilMs - nowMs);
  }

  noteSuccess(): void {
    this.#failureScore *= SUCCESS_FACTOR;
    if (this.#failureScore < RESET_SCORE) this.#nextEjectionMs = EJECTION_MIN_MS;
  }

  /**
   * @param isSevere whether one such failure is enough to eject the upstream
   * @returns whether the upstream is ejected from now on
   */
  noteFailure(nowMs: number, isSevere = false): boolean {
    this.#failureScore += isSevere ? EJECTION_SCORE : 1;
    if (this.#failureScore < EJECTION_SCORE || this.isEjected(nowMs)) return false;
    this.#ejectedUntilMs = nowMs + this.#nextEjectionMs;
    this.#nextEjectionMs = Math.min(EJECTION_MAX_MS, this.#nextEjectionMs * EJECTION_GROWTH_FACTOR);
    this.#failureScore = SCORE_AFTER_EJECTION;
    return true;
  }
}
