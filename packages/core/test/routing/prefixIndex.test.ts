/** Prefix index: depths by holder, and bounded memory. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { CountingMetrics } from '../../src/ports/countingMetrics.js';
import { HOLDERS_MAX, PrefixIndex } from '../../src/routing/prefixIndex.js';
import { PrefixView } from '../../src/routing/prefixView.js';

import { createBlocks } from './routingFixture.js';

function measureDepths(index: PrefixIndex, hashes: readonly string[]): Uint16Array {
  const depths = new Uint16Array(HOLDERS_MAX);
  index.measureDepths(hashes, depths);
  return depths;
}

test('depth counts only leading blocks, separately for each holder', () => {
  const index = new PrefixIndex(100);
  const hashes = createBlocks('p', 6);
  hashes.forEach((hash) => index.add(hash, 0));
  hashes.slice(0, 3).forEach((hash) => index.add(hash, 255));
  hashes.slice(1).forEach((hash) => index.add(hash, 33));
  index.remove('p-4', 0);
  const depths = measureDepths(index, hashes);
  assert.equal([depths[0], depths[255], depths[33], depths[7]], [4, 3, 0, 0]);
});

test('the least recently used blocks are evicted when the index is full', () => {
  const index = new PrefixIndex(8);
  const [old, used, newer] = [createBlocks('o', 4), createBlocks('u', 4), createBlocks('n', 4)];
  [old, used, old, newer].forEach((hashes) => hashes.forEach((hash) => index.add(hash, 5)));
  const depths = [old, used, newer].map((hashes) => measureDepths(index, hashes)[5]);
  assert.equal([index.size, ...depths], [8, 4, 0, 4]);
});

test('a reused row has none of the holders of its previous block', () => {
  const index = new PrefixIndex(1);
  index.add('one', 1);
  index.add('two', 2);
  assert.equal([measureDepths(index, ['two'])[1], measureDepths(index, ['two'])[2]], [0, 1]);
});

test('the least recently updated upstream is evicted when all holders are in use', () => {
  const view = new PrefixView(1_000, new CountingMetrics());
  const names = Array.from({ length: HOLDERS_MAX + 1 }, (_, index) => `worker-${index}`);
  names.slice(0, -1).forEach((name) => view.recordSent(name, ['same']));
  view.recordSent(names[HOLDERS_MAX] ?? '', ['other']);
  view.measureDepths(['same']);
  const depths = [0, 1, HOLDERS_MAX].map((index) => view.readDepth(names[index] ?? ''));
  assert.equal(depths, [0, 1, 0]);
});

test.run();
