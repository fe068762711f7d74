/** An exponentially weighted mean of measured times. */
export class SmoothedTime {
  readonly #weight: number;

  #meanMs: number | undefined;

  /** @param weight share of the newest sample, above 0 and up to 1 */
  constructor(weight: number) {
    this.#weight = weight;
  }

  /** Mean so far; 0 before the first sample. */
  get meanMs(): number {
    return this.#meanMs ?? 0;
  }

  /** Takes a sample in. */
  add(sampleMs: number): void {
    const meanMs = this.#meanMs ?? sampleMs;
    this.#meanMs = meanMs + this.#weight * (sampleMs - meanMs);
  }
}
