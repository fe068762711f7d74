/**
 * Load of a stand-in group: requests by rank, tokens by expert, and the time that each rank takes.
 *
 * Popularity is Zipf-like in every layer and drifts by a seeded random walk that reverts to its
 * mean; it can also change at once. A layer ends when its slowest rank does.
 */
import {
  countReplicas,
  findSlot,
  type ExpertMap,
  type GroupShape,
} from '@radishbay/core/groups/expertMap.js';
import { Random } from '@radishbay/core/ports/random.js';

export interface LoadOptions {
  readonly shape: GroupShape;
  readonly seed: number;
  readonly zipfExponent: number;
  /** Spread of one window's change of the logarithm of popularity. */
  readonly driftPerWindow: number;
  readonly requestsPerRank: number;
  readonly expertsPerToken: number;
  readonly batchMs: number;
  readonly tokenMs: number;
}

/** Times of one step, by layer and rank. */
export interface StepTimes {
  readonly layerMs: readonly (readonly number[])[];
  /** Tokens by layer and expert. */
  readonly expertTokens: Float64Array;
}

/** Part of the walk's distance that is taken back in each window. */
const REVERSION = 0.02;

function drawNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

/** Seeded load of one group. */
export class LoadModel {
  readonly #options: LoadOptions;

  readonly #random: Random;

  /** Logarithm of popularity at rest and walk from it, by layer and expert. */
  readonly #rest: Float64Array;

  readonly #walk: Float64Array;

  readonly speeds: number[];

  /** Weight of each rank in routing. */
  requestWeights: readonly number[];

  constructor(options: LoadOptions) {
    const { shape } = options;
    this.#options = options;
    this.#random = new Random(options.seed);
    this.#rest = new Float64Array(shape.layers * shape.experts);
    this.#walk = new Float64Array(shape.layers * shape.experts);
    this.speeds = new Array<number>(shape.ranks).fill(1);
    this.requestWeights = [...this.speeds];
    Array.from({ length: shape.layers }, (_, layer) => layer).forEach((layer) =>
      this.shuffle(layer),
    );
  }

  /** Gives the experts of a layer new places in the order of popularity. */
  shuffle(layer: number): void {
    const { experts } = this.#options.shape;
    const keys = Array.from({ length: experts }, (_, expert) => ({
      expert,
      key: this.#random.next(),
    }));
    keys.sort((first, second) => first.key - second.key);
    keys.forEach(({ expert }, place) => {
      const at = layer * experts + expert;
      this.#rest[at] = -this.#options.zipfExponent * Math.log(place + 1);
      this.#walk[at] = 0;
    });
  }

  /** Lets popularity drift for one window. */
  drift(): void {
    const { driftPerWindow } = this.#options;
    this.#walk.forEach((value, at) => {
      this.#walk[at] = value * (1 - REVERSION) + driftPerWindow * drawNormal(this.#random);
    });
  }

  /** Expected tokens of a step, by layer and expert. */
  get expectedTokens(): Float64Array {
    const { shape, requestsPerRank, expertsPerToken } = this.#options;
    const total = shape.ranks * requestsPerRank * expertsPerToken;
    const tokens = this.#rest.map((rest, at) => Math.exp(rest + (this.#walk[at] ?? 0)));
    for (let layer = 0; layer < shape.layers; layer += 1) {
      const part = tokens.subarray(layer * shape.experts, (layer + 1) * shape.experts);
      const sum = part.reduce((all, value) => all + value, 0);
      part.forEach((value, expert) => {
        part[expert] = (value / sum) * total;
      });
    }
    return tokens;
  }

  /** Requests of each rank, by routing weight. */
  get batches(): readonly number[] {
    const { shape, requestsPerRank } = this.#options;
    const sum = this.requestWeights.reduce((all, weight) => all + weight, 0);
    return this.requestWeights.map((weight) => (shape.ranks * requestsPerRank * weight) / sum);
  }

  /** Draws one step under a map. */
  drawStep(map: ExpertMap, expected: Float64Array): StepTimes {
    const { experts, layers } = this.#options.shape;
    const expertTokens = expected.map((mean) =>
      Math.max(0, mean + Math.sqrt(mean) * drawNormal(this.#random)),
    );
    const { batches } = this;
    const layerMs = Array.from({ length: layers }, (_, layer) => {
      const tokens = expertTokens.subarray(layer * experts, (layer + 1) * experts);
      return this.#timeLayer(map, layer, tokens, batches);
    });
    return { layerMs, expertTokens };
  }

  /** Tokens of a step that reach one rank. */
  countTokens(rank: number, step: StepTimes): number {
    const { shape, batchMs, tokenMs } = this.#options;
    const batchTimeMs = (this.batches[rank] ?? 0) * batchMs * shape.layers;
    const timeMs = step.layerMs.reduce((all, ms) => all + (ms[rank] ?? 0), 0);
    return (timeMs * (this.speeds[rank] ?? 1) - batchTimeMs) / tokenMs;
  }

  #timeLayer(
    map: ExpertMap,
    layer: number,
    tokens: Float64Array,
    batches: readonly number[],
  ): readonly number[] {
    const { shape, batchMs, tokenMs } = this.#options;
    const replicas = countReplicas(map, layer);
    return batches.map((batch, rank) => {
      const start = findSlot(shape, layer, rank);
      let sum = 0;
      for (let slot = start; slot < start + shape.slotsPerRank; slot += 1) {
        const expert = map.slots[slot] ?? 0;
        sum += (tokens[expert] ?? 0) / (replicas[expert] ?? 1);
      }
      return (batch * batchMs + sum * tokenMs) / (this.speeds[rank] ?? 1);
    });
  }
}
