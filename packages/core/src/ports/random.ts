/** Seeded random numbers, so that every decision can be replayed. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Range of a generator's 32-bit output. */
const UINT32_RANGE = 2 ** 32;

/** Draws after which sequences of neighbouring seeds no longer resemble each other. */
const WARM_UP_DRAWS = 64;

/** Deterministic source of random numbers. */
export class Random {
  readonly #generator;

  /** @param seed whole number; equal seeds give equal sequences */
  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
    for (let draw = 0; draw < WARM_UP_DRAWS; draw += 1) this.#generator.next();
  }

  /** Next number from 0 up to, but not including, 1. */
  next(): number {
    // eslint-disable-next-line no-bitwise -- the generator yields signed 32-bit integers
    return (this.#generator.next() >>> 0) / UINT32_RANGE;
  }

  /** Whole number from 0 up to, but not including, the bound. */
  nextInt(bound: number): number {
    return Math.floor(this.next() * bound);
  }
}
