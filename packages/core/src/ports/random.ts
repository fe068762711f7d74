/** Seeded random numbers, so that random decisions can be reproduced. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Range of a generator's 32-bit output. */
const UINT32_RANGE = 2 ** 32;

/** Number of draws after which the sequences of consecutive seeds no longer resemble each other. */
const WARM_UP_DRAWS = 64;

/** Pseudorandom number generator. */
export class Random {
  readonly #generator;

  /** @param seed integer; equal seeds give equal sequences */
  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
    for (let draw = 0; draw < WARM_UP_DRAWS; draw += 1) this.#generator.next();
  }

  /** Draws a number in [0, 1). */
  next(): number {
    // eslint-disable-next-line no-bitwise -- the generator yields signed 32-bit integers
    return (this.#generator.next() >>> 0) / UINT32_RANGE;
  }

  /** Draws an integer in [0, bound). */
  nextInt(bound: number): number {
    return Math.floor(this.next() * bound);
  }
}
