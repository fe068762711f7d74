/**
 * Computes the initial expert map of a group, without a previous map.
 *
 * Each spare slot gives one more replica to the expert with the most tokens per replica. Replicas
 * are then packed largest first, each on the rank that would finish it earliest among those with a
 * free slot and without a replica of the expert.
 *
 * Source: the greedy replication and packing of DeepSeek's EPLB (2025); R. Graham, Bounds on
 * Multiprocessing Timing Anomalies (1969).
 */
import { EMPTY_SLOT, findSlot, type GroupShape } from './expertMap.js';
import type { ExpertTokens } from './expertLoad.js';

function findLargest(values: readonly number[]): number {
  return values.reduce((best, value, index) => (value > (values[best] ?? 0) ? index : best), 0);
}

/**
 * Chooses the number of replicas of each expert of a layer so that the largest share of tokens of
 * one replica is minimal.
 *
 * @param slots slots of the layer on all ranks
 * @param maxReplicas largest number of replicas of one expert
 */
export function chooseReplicaCounts(
  tokens: readonly number[],
  slots: number,
  maxReplicas: number,
): number[] {
  const counts = tokens.map(() => 1);
  for (let spare = slots - tokens.length; spare > 0; spare -= 1) {
    const shares = tokens.map((count, expert) => {
      const replicas = counts[expert] ?? 1;
      return replicas < maxReplicas ? count / replicas : -1;
    });
    const expert = findLargest(shares);
    counts[expert] = (counts[expert] ?? 0) + 1;
  }
  return counts;
}

/** Slots and load of the ranks while one layer is packed. */
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

  /** Places a replica on the rank that would finish it earliest. */
  placeReplica(expert: number, tokens: number): void {
    const open = this.#used.map((used) => used < this.#slotsPerRank);
    const times = this.#load.map((load, rank) => {
      if (!open[rank]) return Number.POSITIVE_INFINITY;
      // A second replica on the same rank spreads no load, so it is the last choice.
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

/** Places the experts of one layer. */
function placeLayer(
  shape: GroupShape,
  tokens: readonly number[],
  speeds: readonly number[],
): readonly number[] {
  const counts = chooseReplicaCounts(tokens, shape.ranks * shape.slotsPerRank, shape.ranks);
  const replicas = counts.flatMap((count, expert) =>
    Array.from({ length: count }, () => ({ expert, tokens: (tokens[expert] ?? 0) / count })),
  );
  replicas.sort((first, second) => second.tokens - first.tokens);
  const packing = new LayerPacking(shape, speeds);
  replicas.forEach((replica) => packing.placeReplica(replica.expert, replica.tokens));
  return packing.slots;
}

/**
 * Places the experts of all layers.
 *
 * @param tokens tokens per step, by layer and expert
 * @param speeds speed of each rank; 1 is normal
 * @returns slots of the map
 */
export function placeExperts(
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
