/** Exponential backoff with full jitter, so that clients do not all retry at once after a fault. */
import type { Random } from '../ports/random.js';

/** Factor by which the upper bound of the delay grows with each failure. */
const GROWTH = 2;

/** Computes the delays between retries of one operation. */
export class Backoff {
  readonly #random: Random;

  readonly #minMs: number;

  readonly #maxMs: number;

  #boundMs: number;

  /**
   * @param minMs shortest delay, and upper bound of the first one
   * @param maxMs limit of the upper bound
   */
  constructor(random: Random, minMs: number, maxMs: number) {
    this.#random = random;
    this.#minMs = minMs;
    this.#maxMs = maxMs;
    this.#boundMs = minMs;
  }

  /** @returns next delay in ms: random, between the minimum and a bound that doubles each time */
  next(): number {
    const bound = this.#boundMs;
    this.#boundMs = Math.min(this.#maxMs, bound * GROWTH);
    return this.#minMs + this.#random.next() * (bound - this.#minMs);
  }

  /** Resets the bound to the minimum after a success. */
  reset(): void {
    this.#boundMs = this.#minMs;
  }
}
