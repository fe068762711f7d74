import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { LayerSearch } from '../../../src/direct/experts/layerSearch.js';
import { Random } from '../../../src/ports/random.js';

const RANKS = 6;
const EXPERTS = 24;
const SLOTS = 5;
const NEW_PER_RANK = 2;

/** Experts in turn, with one place of each rank free. */
const PLACEMENT = Array.from({ length: RANKS }, (_, rank) =>
  Array.from({ length: EXPERTS / RANKS }, (__, at) => rank + at * RANKS),
);

function search(samples: readonly Float64Array[], paces = new Array<number>(RANKS).fill(1)) {
  const layer = new LayerSearch({
    placement: PLACEMENT,
    experts: EXPERTS,
    slotsPerRank: SLOTS,
    copiesPerRankMax: NEW_PER_RANK,
    samples,
    paces,
    random: new Random(5),
  });
  const before = layer.skew;
  while (!layer.isDone) layer.step();
  return { layer, before };
}

function countNew(placement: readonly (readonly number[])[], rank: number): number {
  return (placement[rank] ?? []).filter((expert) => !PLACEMENT[rank]?.includes(expert)).length;
}

test('whatever is in demand, a placement keeps every expert, its places and its copies', () => {
  const sample = fc.array(fc.nat(1_000), { minLength: EXPERTS, maxLength: EXPERTS });
  fc.assert(
    fc.property(fc.array(sample, { minLength: 1, maxLength: 6 }), (samples) => {
      const { layer, before } = search(samples.map((each) => Float64Array.from(each)));
      const { placement } = layer;
      assert.is(new Set(placement.flat()).size, EXPERTS);
      placement.forEach((experts, rank) => {
        assert.ok(experts.length <= SLOTS);
        assert.is(new Set(experts).size, experts.length, 'no expert twice on a rank');
        assert.ok(countNew(placement, rank) <= NEW_PER_RANK);
      });
      assert.ok(layer.skew <= before + 1e-9);
    }),
    { numRuns: 60 },
  );
});

test('experts that are chosen together come to lie apart', () => {
  const sample = new Float64Array(EXPERTS).fill(1);
  // Both lie on rank 0.
  sample[0] = 100;
  sample[6] = 100;
  const { layer, before } = search([sample]);
  assert.ok(layer.skew < before * 0.7, `${before} to ${layer.skew}`);
});

test('a slow rank is given less', () => {
  const sample = new Float64Array(EXPERTS).fill(10);
  const paces = [4, 1, 1, 1, 1, 1];
  const { layer, before } = search([sample], paces);
  assert.ok(layer.skew < before * 0.75, `${before} to ${layer.skew}`);
});

test('a copy that saves next to nothing is not made', () => {
  const sample = Float64Array.from({ length: EXPERTS }, (_, expert) => 1_000 + expert);
  const { layer } = search([sample]);
  assert.is(layer.copies, 0);
});

test.run();
