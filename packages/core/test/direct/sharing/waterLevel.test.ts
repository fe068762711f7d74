import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { solveWaterLevel } from '../../../src/direct/sharing/waterLevel.js';

const DEMAND = fc.record({
  demand: fc.double({ min: 0.25, max: 100, noNaN: true }),
  weight: fc.integer({ min: 1, max: 5 }),
});

test('the shares of the level use the whole capacity and exceed no demand', () => {
  fc.assert(
    fc.property(
      fc.array(DEMAND, { minLength: 1, maxLength: 30 }),
      fc.double({ min: 1, max: 500, noNaN: true }),
      fc.double({ min: 0, max: 0.9, noNaN: true }),
      (demands, capacity, floorFraction) => {
        const total = demands.reduce((sum, { demand }) => sum + demand, 0);
        const ratio = (floorFraction * Math.min(capacity, total)) / total;
        const withFloors = demands.map((each) => ({ ...each, floor: each.demand * ratio }));
        const level = solveWaterLevel(withFloors, capacity);
        const shares = withFloors.map(({ demand, weight, floor }) =>
          Math.min(demand, Math.max(floor, level * weight)),
        );
        const used = shares.reduce((sum, share) => sum + share, 0);
        assert.ok(Math.abs(used - Math.min(total, capacity)) < 1e-6, `${used} of ${capacity}`);
      },
    ),
  );
});

test('without capacity the level is 0, and infinite where all demands are met', () => {
  const demands = [{ demand: 2, weight: 1, floor: 0 }];
  assert.is(solveWaterLevel(demands, -1), 0);
  assert.is(solveWaterLevel(demands, 2), Number.POSITIVE_INFINITY);
});

test.run();
