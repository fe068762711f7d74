import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { Random } from '../../src/ports/random.js';

const SEEDS = 1_000;

test('the first numbers of consecutive seeds are evenly distributed', () => {
  const buckets = Array.from({ length: 10 }, () => 0);
  Array.from({ length: SEEDS }, (_, seed) => {
    const bucket = new Random(seed).nextInt(buckets.length);
    buckets[bucket] = (buckets[bucket] ?? 0) + 1;
    return bucket;
  });
  const expected = SEEDS / buckets.length;
  assert.ok(
    buckets.every((count) => count > expected / 2 && count < expected * 2),
    buckets.join(),
  );
});

test('equal seeds give equal sequences', () => {
  const draw = () => {
    const random = new Random(7);
    return Array.from({ length: 5 }, () => random.next());
  };
  assert.equal(draw(), draw());
});

test.run();
