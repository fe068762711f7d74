import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { LayerSearch } from '../../../src/direct/experts/layerSearch.js';
import { Random } from '../../../src/ports/random.js';

const RANKS = 6;
const EXPERTS = 24;
const SLOTS_PER_RANK = 5;
const COPIES_PER_RANK_MAX = 2;

/** Experts assigned round-robin, with one free slot on each rank. */
const PLACEMENT = Array.from({ length: RANKS }, (_, rank) =>
  Array.from({ length: EXPERTS / RANKS }, (__, at) => rank + at * RANKS),
);

function search(samples: readonly Float64Array[], paces = new Array<number>(RANKS).fill(1)) {
  const layer = new LayerSearch({
    placement: PLACEMENT,
    experts: EXPERTS,
    slotsPerRank: SLOTS_PER_RANK,
    copiesPerRankMax: COPIES_PER_RANK_MAX,
    samples,
    paces,
    random: new Random(5),
  });
  const before = layer.skew;
  while (!layer.isDone) layer.step();
  return { layer, before };
}

function countCopies(placement: readonly (readonly number[])[], rank: number): number {
  return (placement[rank] ?? []).filter((expert) => !PLACEMENT[rank]?.includes(expert)).length;
}

test('a placement has every expert and respects the slots and copies per rank at any demand', () => {
  const sample = fc.array(fc.nat(1_000), { minLength: EXPERTS, maxLength: EXPERTS });
  fc.assert(
    fc.property(fc.array(sample, { minLength: 1, maxLength: 6 }), (samples) => {
      const { layer, before } = search(samples.map((each) => Float64Array.from(each)));
      const { placement } = layer;
      assert.is(new Set(placement.flat()).size, EXPERTS);
      placement.forEach((experts, rank) => {
        assert.ok(experts.length <= SLOTS_PER_RANK);
        assert.is(new Set(experts).size, experts.length, 'an expert is at most once on a rank');
        assert.ok(countCopies(placement, rank) <= COPIES_PER_RANK_MAX);
      });
      assert.ok(layer.skew <= before + 1e-9);
    }),
    { numRuns: 60 },
  );
});

test('experts that are chosen together are placed on different ranks', () => {
  const sample = new Float64Array(EXPERTS).fill(1);
  // Both are on rank 0.
  sample[0] = 100;
  sample[6] = 100;
  const { layer, before } = search([sample]);
  assert.ok(layer.skew < before * 0.7, `${before} to ${layer.skew}`);
});

test('a slow rank is assigned less load', () => {
  const sample = new Float64Array(EXPERTS).fill(10);
  const paces = [4, 1, 1, 1, 1, 1];
  const { layer, before } = search([sample], paces);
  assert.ok(layer.skew < before * 0.75, `${before} to ${layer.skew}`);
});

test('an expert is not copied if that gains next to nothing', () => {
  const sample = Float64Array.from({ length: EXPERTS }, (_, expert) => 1_000 + expert);
  const { layer } = search([sample]);
  assert.is(layer.copies, 0);
});

test.run();
