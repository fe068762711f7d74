/** Bounds how many requests an entry starts at one upstream in any second. */

/** Span in which a cold upstream's requests are counted. */
const WINDOW_MS = 1_000;

/** Start times of the last second. */
export class StartRate {
  #startsAtMs: number[] = [];

  /** Starts within the last second. */
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
