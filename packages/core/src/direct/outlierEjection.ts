/**
 * Whether an upstream is worth a request, judged by the results that this entry has seen.
 *
 * Answers the load pattern of an upstream that fails part of its requests while it calls itself
 * healthy: two failures with few successes between them leave it out for a time that doubles.
 */

/** Score from which an upstream is left out; each failure adds 1. */
const EJECTION_SCORE = 2;

/** Part of the score that a success leaves. */
const SUCCESS_FACTOR = 0.7;

/** Score after a time out: one more failure leaves the upstream out again. */
const SCORE_AFTER_EJECTION = 1;

/** First time out; several callers' time targets, so that a single glitch costs little. */
const EJECTION_MIN_MS = 700;

/** Longest time out: about the time in which a restarted upstream is back. */
const EJECTION_MAX_MS = 4_000;

const EJECTION_GROWTH_FACTOR = 2;

/** Score below which the next time out is the shortest again. */
const RESET_SCORE = 0.2;

/** Trust in one upstream. */
export class OutlierEjection {
  #failureScore = 0;

  #nextEjectionMs = EJECTION_MIN_MS;

  #ejectedUntilMs = Number.NEGATIVE_INFINITY;

  isEjected(nowMs: number): boolean {
    return nowMs < this.#ejectedUntilMs;
  }

  /** Time for which it is still left out. */
  readEjectedMs(nowMs: number): number {
    return Math.max(0, this.#ejectedUntilMs - nowMs);
  }

  noteSuccess(): void {
    this.#failureScore *= SUCCESS_FACTOR;
    if (this.#failureScore < RESET_SCORE) this.#nextEjectionMs = EJECTION_MIN_MS;
  }

  /**
   * @param isSevere whether one such failure is enough to leave the upstream out
   * @returns whether the upstream is left out from now on
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
