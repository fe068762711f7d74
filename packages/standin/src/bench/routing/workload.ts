/** Requests of a bench: arrivals, prompts with shared prefixes, and lengths of answers. */
import type { Random } from '@radishbay/core/ports/random.js';

export interface WorkloadOptions {
  readonly requestsPerSecond: number;
  readonly tokensMin: number;
  readonly tokensMax: number;
  /** Whether requests have prompts, such as those to model engines. */
  readonly hasPrompts: boolean;
}

export interface BenchRequest {
  readonly prefixHashes: readonly string[];
  readonly tokens: number;
}

/** Prompts that begin alike, such as those of one workspace's assistant. */
const FAMILIES = 48;
const FAMILY_BLOCKS_MIN = 4;
const FAMILY_BLOCKS_MAX = 20;

/** Blocks of a prompt of its own. */
const TAIL_BLOCKS_MAX = 4;

const ZIPF_EXPONENT = 0.9;

const MS_PER_SECOND = 1_000;

function drawBetween(random: Random, min: number, max: number): number {
  return min + random.nextInt(max - min + 1);
}

function createBlocks(name: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `${name}.${index}`);
}

/** Draws requests. */
export class Workload {
  readonly #random: Random;

  readonly #options: WorkloadOptions;

  readonly #families: readonly (readonly string[])[];

  /** Sums of the families' weights. */
  readonly #sums: readonly number[];

  #count = 0;

  constructor(random: Random, options: WorkloadOptions) {
    this.#random = random;
    this.#options = options;
    this.#families = Array.from({ length: FAMILIES }, (_, index) =>
      createBlocks(`f${index}`, drawBetween(random, FAMILY_BLOCKS_MIN, FAMILY_BLOCKS_MAX)),
    );
    let sum = 0;
    this.#sums = this.#families.map((_, index) => {
      sum += 1 / (index + 1) ** ZIPF_EXPONENT;
      return sum;
    });
  }

  /** Time until the next arrival. */
  drawGapMs(): number {
    const meanMs = MS_PER_SECOND / this.#options.requestsPerSecond;
    return -Math.log(1 - this.#random.next()) * meanMs;
  }

  drawRequest(): BenchRequest {
    const drawn = this.#random.next() * (this.#sums[FAMILIES - 1] ?? 1);
    const family = this.#families[this.#sums.findIndex((sum) => drawn < sum)] ?? [];
    this.#count += 1;
    const tail = createBlocks(`r${this.#count}`, this.#random.nextInt(TAIL_BLOCKS_MAX + 1));
    const { tokensMin, tokensMax, hasPrompts } = this.#options;
    const tokens = drawBetween(this.#random, tokensMin, tokensMax);
    return { prefixHashes: hasPrompts ? [...family, ...tail] : [], tokens };
  }
}
