/**
 * Spreads the retry times of refused requests.
 *
 * Requests that were all given the same retry time would return together and be refused together.
 */

const RETRY_AFTER_MIN_MS = 100;

const RETRY_AFTER_MAX_MS = 60_000;

/** One in this many admissions is for a retry; the others are left to new requests. */
const ADMISSIONS_PER_RETRY = 3;

/** Assigns retry times to refused requests. */
export class RetryAfterSchedule {
  /** Latest retry time assigned so far. */
  #lastAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Chooses when a refused request should be retried.
   *
   * @param earliestMs time from now after which it could be admitted
   * @param intervalMs expected time between two admissions
   * @returns time from now in milliseconds
   */
  choose(earliestMs: number, intervalMs: number, nowMs: number): number {
    const latestAtMs = nowMs + RETRY_AFTER_MAX_MS;
    const wantedAtMs = Math.max(
      nowMs + earliestMs,
      this.#lastAtMs + ADMISSIONS_PER_RETRY * intervalMs,
    );
    const atMs = Math.min(latestAtMs, Math.max(nowMs + RETRY_AFTER_MIN_MS, wantedAtMs));
    this.#lastAtMs = Math.max(this.#lastAtMs, atMs);
    return Math.ceil(atMs - nowMs);
  }
}
