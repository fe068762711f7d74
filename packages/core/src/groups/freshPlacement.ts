/**
 * Places the experts of a group from nothing: the first map of a group.
 *
 * Replicas go to the expert with the most tokens for each of its replicas; replicas are then packed
 * by size, largest first, each to the least loaded rank that has a slot free and lacks the expert.
 *
 * Source: the greedy replication and packing of DeepSeek's EPLB (2025); R. Graham, Bounds on
 * Multiprocessing Timing Anomalies (1969).
 */
import { EMPTY_SLOT, findSlot, type GroupShape } from './expertMap.js';
import type { ExpertTokens } from './expertLoad.js';

function findLargest(values: readonly number[]): number {
  return values.reduce((best, value, index) => (value > (values[best] ?? 0) ? index : best), 0);
}

/** Number of replicas for each expert of a layer that makes the largest replica smallest. */
export function chooseReplicas(tokens: readonly number[], slots: number, most: number): number[] {
  const counts = tokens.map(() => 1);
  for (let spare = slots - tokens.length; spare > 0; spare -= 1) {
    const shares = tokens.map((count, expert) => {
      const replicas = counts[expert] ?? 1;
      return replicas < most ? count / replicas : -1;
    });
    const expert = findLargest(shares);
    counts[expert] = (counts[expert] ?? 0) + 1;
  }
  return counts;
}

/** The ranks of one layer while they are filled. */
class LayerPacking {
  readonly slots: number[];

  readonly #slotsPerRank: number;

  readonly #speeds: readonly number[];

  readonly #load: number[];

  readonly #used: number[];

  constructor(shape: GroupShape, speeds: readonly number[]) {
    this.#slotsPerRank = shape.slotsPerRank;
    this.#speeds = speeds;
    this.slots = new Array<number>(shape.ranks * shape.slotsPerRank).fill(EMPTY_SLOT);
    this.#load = new Array<number>(shape.ranks).fill(0);
    this.#used = new Array<number>(shape.ranks).fill(0);
  }

  /** Puts one replica on the rank that ends earliest with it. */
  placeReplica(expert: number, tokens: number): void {
    const open = this.#used.map((used) => used < this.#slotsPerRank);
    const times = this.#load.map((load, rank) => {
      if (!open[rank]) return Number.POSITIVE_INFINITY;
      // A second replica on one rank helps nobody; it is the last resort.
      const penalty = this.#hasReplica(rank, expert) ? 1e12 : 0;
      return (load + tokens) / (this.#speeds[rank] ?? 1) + penalty;
    });
    const rank = times.indexOf(Math.min(...times));
    this.slots[rank * this.#slotsPerRank + (this.#used[rank] ?? 0)] = expert;
    this.#used[rank] = (this.#used[rank] ?? 0) + 1;
    this.#load[rank] = (this.#load[rank] ?? 0) + tokens;
  }

  #hasReplica(rank: number, expert: number): boolean {
    const start = rank * this.#slotsPerRank;
    return this.slots.slice(start, start + this.#slotsPerRank).includes(expert);
  }
}

/** Places one layer. */
function placeLayer(
  shape: GroupShape,
  tokens: readonly number[],
  speeds: readonly number[],
): readonly number[] {
  const counts = chooseReplicas(tokens, shape.ranks * shape.slotsPerRank, shape.ranks);
  const replicas = counts.flatMap((count, expert) =>
    Array.from({ length: count }, () => ({ expert, tokens: (tokens[expert] ?? 0) / count })),
  );
  replicas.sort((first, second) => second.tokens - first.tokens);
  const packing = new LayerPacking(shape, speeds);
  replicas.forEach((replica) => packing.placeReplica(replica.expert, replica.tokens));
  return packing.slots;
}

/**
 * Places all experts.
 *
 * @param tokens tokens of a step, by layer and expert
 * @returns the slots of a map
 */
export function placeAll(
  shape: GroupShape,
  tokens: ExpertTokens,
  speeds: readonly number[],
): readonly number[] {
  const slots = new Array<number>(findSlot(shape, shape.layers, 0)).fill(EMPTY_SLOT);
  Array.from({ length: shape.layers }, (_, layer) => layer).forEach((layer) => {
    const layerTokens = [...tokens.subarray(layer * shape.experts, (layer + 1) * shape.experts)];
    placeLayer(shape, layerTokens, speeds).forEach((expert, index) => {
      slots[findSlot(shape, layer, 0) + index] = expert;
    });
  });
  return slots;
}
