/** Rate of routing choices in a pool, as an exponentially decayed count. */

/** Time after which a choice counts for 1/e. */
const DECAY_MS = 1_000;

/** Measures how often routing chooses an upstream. */
export class ChoiceRate {
  #count = 0;

  #countedAtMs = 0;

  /** Adds a choice. */
  add(nowMs: number): void {
    this.#count = this.#readCount(nowMs) + 1;
    this.#countedAtMs = nowMs;
  }

  /** Reads the rate in choices per millisecond. */
  readPerMs(nowMs: number): number {
    return this.#readCount(nowMs) / DECAY_MS;
  }

  #readCount(nowMs: number): number {
    const ageMs = Math.max(0, nowMs - this.#countedAtMs);
    return this.#count * Math.exp(-ageMs / DECAY_MS);
  }
}
