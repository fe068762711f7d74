/**
 * Whether an upstream is worth a request, judged by the results that this entry has seen.
 *
 * Answers the load pattern of an upstream that fails part of its requests while it calls itself
 * healthy: two failures with few successes between them leave it out for a time that doubles.
 */

/** Score from which an upstream is left out; each failure adds 1. */
const BLOCK_SCORE = 2;

/** Part of the score that a success leaves. */
const SUCCESS_FACTOR = 0.7;

/** Score after a time out: one more failure leaves the upstream out again. */
const SCORE_AFTER_BLOCK = 1;

/** First time out; several callers' time targets, so that a single glitch costs little. */
const BLOCK_MIN_MS = 700;

/** Longest time out: about the time in which a restarted upstream is back. */
const BLOCK_MAX_MS = 4_000;

const BLOCK_GROWTH = 2;

/** Score below which the next time out is the shortest again. */
const CALM_SCORE = 0.2;

/** Trust in one upstream. */
export class UpstreamTrust {
  #score = 0;

  #blockMs = BLOCK_MIN_MS;

  #blockedUntilMs = Number.NEGATIVE_INFINITY;

  isBlocked(nowMs: number): boolean {
    return nowMs < this.#blockedUntilMs;
  }

  /** Time for which it is still left out. */
  readBlockedMs(nowMs: number): number {
    return Math.max(0, this.#blockedUntilMs - nowMs);
  }

  noteSuccess(): void {
    this.#score *= SUCCESS_FACTOR;
    if (this.#score < CALM_SCORE) this.#blockMs = BLOCK_MIN_MS;
  }

  /**
   * @param isGrave whether one such failure is enough to leave the upstream out
   * @returns whether the upstream is left out from now on
   */
  noteFailure(nowMs: number, isGrave = false): boolean {
    this.#score += isGrave ? BLOCK_SCORE : 1;
    if (this.#score < BLOCK_SCORE || this.isBlocked(nowMs)) return false;
    this.#blockedUntilMs = nowMs + this.#blockMs;
    this.#blockMs = Math.min(BLOCK_MAX_MS, this.#blockMs * BLOCK_GROWTH);
    this.#score = SCORE_AFTER_BLOCK;
    return true;
  }
}
