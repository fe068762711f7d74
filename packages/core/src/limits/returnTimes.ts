/**
 * Tells refused requests when to come back, each at a time of its own.
 *
 * Were all told the same time, they would come back together and be refused together.
 */

const RETURN_MIN_MS = 100;

const RETURN_MAX_MS = 60_000;

/** Turns between two returns; the others are left to requests that come for the first time. */
const TURNS_APART = 3;

/** Turns given to requests that were refused. */
export class ReturnTimes {
  /** Time of the last turn that was given. */
  #lastAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Chooses when a refused request is to come back.
   *
   * @param earliestMs span after which it could be let in
   * @param turnMs span between two turns at the measured rates
   * @returns span from now
   */
  choose(earliestMs: number, turnMs: number, nowMs: number): number {
    const latestAtMs = nowMs + RETURN_MAX_MS;
    const wantedAtMs = Math.max(nowMs + earliestMs, this.#lastAtMs + TURNS_APART * turnMs);
    const atMs = Math.min(latestAtMs, Math.max(nowMs + RETURN_MIN_MS, wantedAtMs));
    this.#lastAtMs = Math.max(this.#lastAtMs, atMs);
    return Math.ceil(atMs - nowMs);
  }
}
