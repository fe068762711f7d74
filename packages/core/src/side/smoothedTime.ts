/** Exponential moving average of measured times, in milliseconds. */
export class SmoothedTime {
  readonly #weight: number;

  #meanMs: number | undefined;

  /** @param weight weight of the newest sample, above 0 and up to 1 */
  constructor(weight: number) {
    this.#weight = weight;
  }

  /** Current average; 0 before the first sample. */
  get meanMs(): number {
    return this.#meanMs ?? 0;
  }

  /** Adds a sample. */
  add(sampleMs: number): void {
    const meanMs = this.#meanMs ?? sampleMs;
    this.#meanMs = meanMs + this.#weight * (sampleMs - meanMs);
  }
}
