/** Tracks how many requests an entry starts at one upstream per second. */

/** Window in which the starts are counted, in milliseconds. */
const WINDOW_MS = 1_000;

/** Start times within the last second. */
export class StartRate {
  #startsAtMs: number[] = [];

  /** Returns the number of starts within the last second. */
  count(nowMs: number): number {
    const oldest = this.#startsAtMs[0];
    if (oldest !== undefined && oldest <= nowMs - WINDOW_MS) {
      this.#startsAtMs = this.#startsAtMs.filter((atMs) => atMs > nowMs - WINDOW_MS);
    }
    return this.#startsAtMs.length;
  }

  noteStart(nowMs: number): void {
    this.#startsAtMs.push(nowMs);
  }
}
