import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ExpertLoad, LoadFault } from '../../src/groups/expertLoad.js';
import { countLoads, isMapComplete, type ExpertMap } from '../../src/groups/expertMap.js';
import { placeExperts } from '../../src/groups/initialPlacement.js';
import { LayerBalance } from '../../src/groups/layerBalance.js';
import type { PlanOptions } from '../../src/groups/layerPlanner.js';
import { PlacementPlanner, type Plan } from '../../src/groups/placementPlanner.js';
import { Random } from '../../src/ports/random.js';

const SHAPE = { ranks: 8, layers: 4, experts: 16, slotsPerRank: 3 };

const OPTIONS: PlanOptions = {
  tokenMs: 0.001,
  horizonSteps: 1000,
  loadCostMs: 1,
  stallMs: 5,
  minSavedShare: 0.002,
  maxLoads: 40,
  maxLayerMoves: 8,
};

const EVEN_SPEEDS = new Array<number>(SHAPE.ranks).fill(1);

const SEED = 6;

function drawTokens(seed: number): Float64Array {
  const random = new Random(seed);
  return Float64Array.from(
    { length: SHAPE.layers * SHAPE.experts },
    () => 1000 * random.next() ** 4,
  );
}

function makeMap(seed: number): ExpertMap {
  return { version: 1, shape: SHAPE, slots: placeExperts(SHAPE, drawTokens(seed), EVEN_SPEEDS) };
}

function plan(
  map: ExpertMap,
  tokens: Float64Array,
  spare: number,
  options: Partial<PlanOptions> = {},
  speeds: readonly number[] = EVEN_SPEEDS,
): Plan | undefined {
  const spareExperts = EVEN_SPEEDS.map(() => spare);
  const input = { map, tokens, speeds, spareExperts };
  const planner = new PlacementPlanner(input, { ...OPTIONS, ...options });
  while (!planner.isDone) planner.step();
  return planner.finish();
}

/** Sum over all layers of the tokens that reach a rank. */
function countTokens(slots: readonly number[], tokens: Float64Array, rank: number): number {
  const layerSlots = SHAPE.ranks * SHAPE.slotsPerRank;
  return Array.from({ length: SHAPE.layers }, (_, layer) => {
    const held = Int16Array.from(slots.slice(layer * layerSlots, (layer + 1) * layerSlots));
    const part = tokens.subarray(layer * SHAPE.experts, (layer + 1) * SHAPE.experts);
    return new LayerBalance(SHAPE, held, part, EVEN_SPEEDS).rankTokens[rank] ?? 0;
  }).reduce((all, count) => all + count, 0);
}

function reportWindow(load: ExpertLoad, map: ExpertMap, window: number, ranks: number): void {
  const tokens = new Array<number>(SHAPE.layers * SHAPE.slotsPerRank).fill(10);
  Array.from({ length: ranks }, (_, rank) => rank).forEach((rank) =>
    load.add({ rank, window, mapVersion: 1, steps: 10, tokens }, map, window * 1000),
  );
}

const LOAD_OPTIONS = { halfLifeWindows: 2, minWindows: 2, staleMs: 3000 };

test('no plan removes the last replica of an expert or exceeds the spare memory of a rank', () => {
  const property = fc.property(fc.nat(1000), fc.nat(1000), fc.nat(4), (first, second, spare) => {
    const map = makeMap(first);
    const made = plan(map, drawTokens(second), spare);
    if (!made) return;
    const next = { ...map, version: 2, slots: made.slots };
    assert.ok(isMapComplete(next));
    countLoads(next, map).forEach((loads) => assert.ok(loads <= spare));
  });
  fc.assert(property, { seed: SEED, numRuns: 200 });
});

test('a plan does not exceed the load limit of a round', () => {
  const made = plan(makeMap(1), drawTokens(2), 100, { maxLoads: 3 });
  assert.ok(made && made.loads > 0 && made.loads <= 3);
});

test('the expected saving of a plan matches the step time of its map', () => {
  const map = makeMap(1);
  const made = plan(map, drawTokens(2), 100, { maxLoads: 1000 });
  const again = plan({ ...map, slots: made?.slots ?? [] }, drawTokens(2), 100, {
    horizonSteps: 1e9,
    minSavedShare: 0,
    stallMs: 0,
  });
  const expected = (made?.stepMsBefore ?? 0) - (made?.savedMsPerStep ?? 0);
  assert.ok(Math.abs((again?.stepMsBefore ?? expected) - expected) < 1e-9);
});

test('a move that does not cover its cost within the horizon is not planned', () => {
  assert.ok(plan(makeMap(1), drawTokens(2), 100));
  assert.is(plan(makeMap(1), drawTokens(2), 100, { horizonSteps: 1 }), undefined);
});

test('a saving below the least share of the step time is not planned', () => {
  assert.is(plan(makeMap(1), drawTokens(2), 100, { minSavedShare: 0.9 }), undefined);
});

test('a plan that saves less than the stall during its switch is not made', () => {
  assert.is(plan(makeMap(1), drawTokens(2), 100, { stallMs: 1e9 }), undefined);
});

test('the plan moves tokens away from a slow rank', () => {
  const map = makeMap(1);
  const speeds = EVEN_SPEEDS.map((speed, rank) => (rank === 3 ? 0.5 : speed));
  const made = plan(map, drawTokens(1), 100, {}, speeds);
  const before = countTokens(map.slots, drawTokens(1), 3);
  assert.ok(countTokens(made?.slots ?? map.slots, drawTokens(1), 3) < 0.8 * before);
});

test('consecutive complete windows give a load', () => {
  const load = new ExpertLoad(LOAD_OPTIONS);
  const map = makeMap(1);
  [1, 2].forEach((window) => reportWindow(load, map, window, SHAPE.ranks));
  assert.ok(load.read(2000).ok);
});

test('a load without a recent window is stale', () => {
  const load = new ExpertLoad(LOAD_OPTIONS);
  const map = makeMap(1);
  [1, 2].forEach((window) => reportWindow(load, map, window, SHAPE.ranks));
  assert.is(load.read(5001).val, LoadFault.Stale);
});

test('a window that one rank did not report is a gap', () => {
  const load = new ExpertLoad(LOAD_OPTIONS);
  const map = makeMap(1);
  [1, 2].forEach((window) => reportWindow(load, map, window, SHAPE.ranks));
  reportWindow(load, map, 3, SHAPE.ranks - 1);
  reportWindow(load, map, 4, SHAPE.ranks);
  assert.is(load.read(4000).val, LoadFault.Gap);
});

test('a window reported under another map does not count', () => {
  const load = new ExpertLoad(LOAD_OPTIONS);
  const map = makeMap(1);
  [1, 2].forEach((window) => reportWindow(load, { ...map, version: 2 }, window, SHAPE.ranks));
  assert.is(load.read(2000).val, LoadFault.Stale);
});

test.run();
