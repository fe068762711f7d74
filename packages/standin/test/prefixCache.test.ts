import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { PrefixCache } from '../src/engine/prefixCache.js';

const OPTIONS = { capacityBlocks: 2, eventLagMs: 100, gapEvery: 0 };

test('only the contiguous leading blocks count as cached', () => {
  const cache = new PrefixCache({ ...OPTIONS, capacityBlocks: 10 });
  cache.use(['a', 'c'], 0);
  assert.is(cache.use(['a', 'b', 'c'], 0), 1);
});

test('the least recently used block is evicted first, and its eviction is published', () => {
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

test('events are published after the event lag', () => {
  const cache = new PrefixCache(OPTIONS);
  cache.use(['a'], 50);
  assert.is(cache.listEvents(0, 149).length, 0);
  assert.is(cache.listEvents(0, 150).length, 1);
});

test.run();
