/**
 * Quantiles of recent values, from a histogram with buckets of equal relative width.
 *
 * Its memory is fixed. Older values count less: each new value weighs more than the last by a
 * constant factor, and all weights are scaled down before they grow out of range.
 */

/** Buckets per factor of two: a quantile is exact to about 6%. */
const BUCKETS_PER_OCTAVE = 8;

const SCALE_MAX = 1e9;

export interface DecayedQuantilesOptions {
  /** Smallest and largest value that are told apart; others count as the nearest of them. */
  readonly least: number;
  readonly most: number;
  /** Number of later values after which a value counts for 1/e. */
  readonly decaySamples: number;
}

/** Quantiles and mean of recent positive values. */
export class DecayedQuantiles {
  readonly #least: number;

  readonly #growth: number;

  readonly #weights: Float64Array;

  #total = 0;

  #sum = 0;

  /** Weight of the next value. */
  #scale = 1;

  constructor({ least, most, decaySamples }: DecayedQuantilesOptions) {
    this.#least = least;
    this.#growth = Math.exp(1 / decaySamples);
    this.#weights = new Float64Array(Math.ceil(Math.log2(most / least) * BUCKETS_PER_OCTAVE) + 1);
  }

  /** Number of values that count, at most about the decay constant. */
  get weight(): number {
    return this.#total / this.#scale;
  }

  /** Mean of the values; undefined before the first one. */
  get mean(): number | undefined {
    return this.#total > 0 ? this.#sum / this.#total : undefined;
  }

  add(value: number): void {
    const last = this.#weights.length - 1;
    const place = Math.round(Math.log2(value / this.#least) * BUCKETS_PER_OCTAVE);
    const bucket = Math.min(last, Math.max(0, place));
    this.#scale *= this.#growth;
    this.#weights[bucket] = (this.#weights[bucket] ?? 0) + this.#scale;
    this.#total += this.#scale;
    this.#sum += this.#scale * this.#readValue(bucket);
    if (this.#scale > SCALE_MAX) this.#rescale();
  }

  /** Value below which the given part of the values lies; undefined before the first one. */
  readQuantile(fraction: number): number | undefined {
    if (this.#total === 0) return undefined;
    let remaining = fraction * this.#total;
    const found = this.#weights.findIndex((weight) => {
      remaining -= weight;
      return weight > 0 && remaining <= 0;
    });
    return this.#readValue(found < 0 ? this.#weights.length - 1 : found);
  }

  #readValue(bucket: number): number {
    return this.#least * 2 ** (bucket / BUCKETS_PER_OCTAVE);
  }

  #rescale(): void {
    this.#weights.forEach((weight, at) => {
      this.#weights[at] = weight / this.#scale;
    });
    this.#total /= this.#scale;
    this.#sum /= this.#scale;
    this.#scale = 1;
  }
}
