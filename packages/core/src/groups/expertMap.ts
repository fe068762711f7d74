/**
 * The expert map of a group: which rank holds which experts of each layer.
 *
 * Slots are stored in one flat array, because large maps (60 layers, 32 ranks) are read in the
 * planner's inner loops and sent as one field.
 */
import { z } from 'zod';

/** Marks a slot that holds no expert. */
export const EMPTY_SLOT = -1;

/** Most slots in a map: 128 layers of 1,024 ranks with 8 slots each. */
const MAX_SLOTS = 2 ** 20;

const POSITIVE_SCHEMA = z.number().int().positive();

/** Dimensions of the maps of a group. */
export const GROUP_SHAPE_SCHEMA = z.strictObject({
  ranks: POSITIVE_SCHEMA,
  layers: POSITIVE_SCHEMA,
  experts: POSITIVE_SCHEMA,
  slotsPerRank: POSITIVE_SCHEMA,
});

export type GroupShape = Readonly<z.infer<typeof GROUP_SHAPE_SCHEMA>>;

export const EXPERT_MAP_SCHEMA = z.strictObject({
  /** Unique in the group: reserved by a conditional write before the map is staged. */
  version: POSITIVE_SCHEMA,
  shape: GROUP_SHAPE_SCHEMA,
  /** Expert in each slot, ordered by layer, then rank, then slot. */
  slots: z.array(z.number().int().min(EMPTY_SLOT)).max(MAX_SLOTS),
});

/** A version of the placement of expert replicas in the slots of a group. */
export interface ExpertMap {
  readonly version: number;
  readonly shape: GroupShape;
  readonly slots: readonly number[];
}

/** Index of the first slot of a rank in a layer. */
export function findSlot(shape: GroupShape, layer: number, rank: number): number {
  return (layer * shape.ranks + rank) * shape.slotsPerRank;
}

/** Number of replicas of each expert of a layer. */
export function countReplicas(map: ExpertMap, layer: number): readonly number[] {
  const { shape } = map;
  const counts = new Array<number>(shape.experts).fill(0);
  const start = findSlot(shape, layer, 0);
  map.slots.slice(start, start + shape.ranks * shape.slotsPerRank).forEach((expert) => {
    if (expert !== EMPTY_SLOT) counts[expert] = (counts[expert] ?? 0) + 1;
  });
  return counts;
}

/** Whether the slots match the shape and every expert of every layer has a replica. */
export function isMapComplete(map: ExpertMap): boolean {
  const { shape, slots } = map;
  if (slots.length !== shape.layers * shape.ranks * shape.slotsPerRank) return false;
  if (slots.some((expert) => expert >= shape.experts)) return false;
  return Array.from({ length: shape.layers }, (_, layer) => countReplicas(map, layer)).every(
    (counts) => counts.every((count) => count > 0),
  );
}

function countNewExperts(map: ExpertMap, old: ExpertMap, layer: number, rank: number): number {
  const from = findSlot(map.shape, layer, rank);
  const to = from + map.shape.slotsPerRank;
  const held = new Set(old.slots.slice(from, to));
  return map.slots.slice(from, to).filter((expert) => expert !== EMPTY_SLOT && !held.has(expert))
    .length;
}

/** Number of expert replicas that each rank has to load to change from `old` to `map`. */
export function countLoads(map: ExpertMap, old: ExpertMap): readonly number[] {
  const { layers, ranks } = map.shape;
  return Array.from({ length: ranks }, (_, rank) =>
    Array.from({ length: layers }, (__, layer) => countNewExperts(map, old, layer, rank)).reduce(
      (sum, count) => sum + count,
      0,
    ),
  );
}
