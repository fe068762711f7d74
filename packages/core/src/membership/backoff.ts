/** Exponential back-off with full jitter, so that clients of one fault do not return together. */
import type { Random } from '../ports/random.js';

/** Growth of the bound with each failure. */
const GROWTH = 2;

/** Waiting times between attempts at the same thing. */
export class Backoff {
  readonly #random: Random;

  readonly #minMs: number;

  readonly #maxMs: number;

  #boundMs: number;

  /**
   * @param minMs shortest wait, and bound of the first one
   * @param maxMs bound that the waits grow to
   */
  constructor(random: Random, minMs: number, maxMs: number) {
    this.#random = random;
    this.#minMs = minMs;
    this.#maxMs = maxMs;
    this.#boundMs = minMs;
  }

  /** Takes the next wait, between the minimum and a bound that doubles. */
  next(): number {
    const bound = this.#boundMs;
    this.#boundMs = Math.min(this.#maxMs, bound * GROWTH);
    return this.#minMs + this.#random.next() * (bound - this.#minMs);
  }

  /** Starts over after a success. */
  reset(): void {
    this.#boundMs = this.#minMs;
  }
}
