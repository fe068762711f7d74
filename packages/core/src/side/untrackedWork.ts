/**
 * Work in the engine that no attempt of this process stands for.
 *
 * It is what an earlier incarnation of the side process left running, and calls whose connection
 * broke. It counts against the limit until a load report proves that it is gone. A report lags by
 * up to {@link REPORT_LAG_LIMIT_MS}, so it is compared with the fewest attempts that this process
 * had under way at any time that the report may speak of: the rest of the reported total bounds
 * the unowned work from above.
 */

/** Longest time by which a load report lags behind the engine. */
export const REPORT_LAG_LIMIT_MS = 1_000;

interface TrackedCount {
  readonly atMs: number;
  readonly count: number;
}

/** Upper bound on the work that is not this process's own. */
export class UntrackedWork {
  #count = 0;

  #addedAtMs: number;

  #tracked: TrackedCount[];

  #isKnown = false;

  /** @param startedAtMs time from which this process has been the engine's sole caller */
  constructor(startedAtMs: number) {
    this.#addedAtMs = startedAtMs;
    this.#tracked = [{ atMs: startedAtMs, count: 0 }];
  }

  get count(): number {
    return this.#count;
  }

  /** Whether a report has shown what the earlier incarnation left. */
  get isKnown(): boolean {
    return this.#isKnown;
  }

  /** Takes in that the number of own attempts has changed. */
  recordTracked(count: number, nowMs: number): void {
    this.#tracked.push({ atMs: nowMs, count });
    this.#pruneTracked(nowMs);
  }

  /** Adds calls that may still run although their connection broke. */
  add(count: number, nowMs: number): void {
    this.#count += count;
    this.#addedAtMs = nowMs;
  }

  /** Clears all where a new engine process has taken the old one's place. */
  clear(): void {
    this.#count = 0;
  }

  /**
   * Takes a report in.
   *
   * @param total work that the engine reports, running and queued
   * @param readAtMs time at which reading began
   */
  applyReportedTotal(total: number, readAtMs: number): void {
    if (readAtMs - REPORT_LAG_LIMIT_MS < this.#addedAtMs) return;
    const bound = Math.max(0, total - this.#findLowestTracked(readAtMs));
    this.#count = this.#isKnown ? Math.min(this.#count, bound) : bound;
    this.#isKnown = true;
  }

  #findLowestTracked(readAtMs: number): number {
    this.#pruneTracked(readAtMs);
    return Math.min(...this.#tracked.map((owned) => owned.count));
  }

  /** Keeps the last count from before the lag, and all after it. */
  #pruneTracked(nowMs: number): void {
    const fromMs = nowMs - REPORT_LAG_LIMIT_MS;
    const next = this.#tracked.findIndex((owned) => owned.atMs > fromMs);
    const keepFrom = next < 0 ? this.#tracked.length - 1 : Math.max(0, next - 1);
    if (keepFrom > 0) this.#tracked = this.#tracked.slice(keepFrom);
  }
}
