/**
 * Work in the engine that is not tracked by an attempt of this process.
 *
 * It consists of calls left running by an earlier incarnation of the side process, and of calls
 * whose connection broke. It counts against the limit until a load report proves that it has
 * ended. A report lags by up to {@link REPORT_LAG_LIMIT_MS}, so its total is compared with the
 * fewest attempts that this process had in flight at any time that the report may describe: the
 * difference is an upper bound on the untracked work.
 */

/** Longest time by which a load report lags behind the engine's state. */
export const REPORT_LAG_LIMIT_MS = 1_000;

interface TrackedCount {
  readonly atMs: number;
  readonly count: number;
}

/** Maintains an upper bound on the untracked work. */
export class UntrackedWork {
  #count = 0;

  #addedAtMs: number;

  #tracked: TrackedCount[];

  #isKnown = false;

  /** @param startedAtMs time since which this process is the engine's only caller */
  constructor(startedAtMs: number) {
    this.#addedAtMs = startedAtMs;
    this.#tracked = [{ atMs: startedAtMs, count: 0 }];
  }

  get count(): number {
    return this.#count;
  }

  /** Whether a report has shown how much work the earlier incarnation left running. */
  get isKnown(): boolean {
    return this.#isKnown;
  }

  /** Records a change in the number of this process's attempts in flight. */
  recordTracked(count: number, nowMs: number): void {
    this.#tracked.push({ atMs: nowMs, count });
    this.#pruneTracked(nowMs);
  }

  /** Adds calls that may still be running although their connection broke. */
  add(count: number, nowMs: number): void {
    this.#count += count;
    this.#addedAtMs = nowMs;
  }

  /** Resets the count after the engine process was replaced. */
  clear(): void {
    this.#count = 0;
  }

  /**
   * Sets the bound from the first load report and lowers it with later ones. A report that may
   * predate the start of this process, or the latest call added, is ignored.
   *
   * @param total requests that the engine reports as running or queued
   * @param readAtMs time at which the read of the report started
   */
  applyReportedTotal(total: number, readAtMs: number): void {
    if (readAtMs - REPORT_LAG_LIMIT_MS < this.#addedAtMs) return;
    const bound = Math.max(0, total - this.#findLowestTracked(readAtMs));
    this.#count = this.#isKnown ? Math.min(this.#count, bound) : bound;
    this.#isKnown = true;
  }

  #findLowestTracked(readAtMs: number): number {
    this.#pruneTracked(readAtMs);
    return Math.min(...this.#tracked.map((entry) => entry.count));
  }

  /** Keeps the last count before the lag window, and all counts inside it. */
  #pruneTracked(nowMs: number): void {
    const fromMs = nowMs - REPORT_LAG_LIMIT_MS;
    const next = this.#tracked.findIndex((entry) => entry.atMs > fromMs);
    const keepFrom = next < 0 ? this.#tracked.length - 1 : Math.max(0, next - 1);
    if (keepFrom > 0) this.#tracked = this.#tracked.slice(keepFrom);
  }
}
