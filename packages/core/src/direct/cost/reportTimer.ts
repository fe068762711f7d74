/** Limits how often metrics that take some work to compute are told. */

/** Interval of such metrics, in milliseconds. */
const REPORT_MS = 1_000;

export class ReportTimer {
  #reportedAtMs = Number.NEGATIVE_INFINITY;

  /** Whether metrics are due; counts as told. */
  take(nowMs: number): boolean {
    if (nowMs - this.#reportedAtMs < REPORT_MS) return false;
    this.#reportedAtMs = nowMs;
    return true;
  }
}
