import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { PrefixCache } from '../src/engine/prefixCache.js';

const OPTIONS = { capacityBlocks: 2, eventLagMs: 100, gapEvery: 0 };

test('only the unbroken run of leading blocks counts as held', () => {
  const cache = new PrefixCache({ ...OPTIONS, capacityBlocks: 10 });
  cache.use(['a', 'c'], 0);
  assert.is(cache.use(['a', 'b', 'c'], 0), 1);
});

test('the least recently used block goes first, and its loss is published', () => {
  const cache = new PrefixCache(OPTIONS);
  cache.use(['a'], 0);
  cache.use(['b'], 0);
  cache.use(['a'], 0);
  cache.use(['c'], 0);
  const lost = cache.listEvents(0, 100).filter(({ isStored }) => !isStored);
  assert.equal(
    lost.map(({ blockHashes }) => blockHashes),
    [['b']],
  );
});

test('events are published late', () => {
  const cache = new PrefixCache(OPTIONS);
  cache.use(['a'], 50);
  assert.is(cache.listEvents(0, 149).length, 0);
  assert.is(cache.listEvents(0, 150).length, 1);
});

test.run();
