import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { HoldingTimes } from '../../../src/direct/cost/holdingTimes.js';
import { Random } from '../../../src/ports/random.js';

/** Draws a time that is spread by half, with one in twenty of five times the mean. */
function drawMs(random: Random, meanMs: number): number {
  if (random.next() < 0.05) return 5 * meanMs;
  return meanMs * (0.5 + random.next());
}

test('times of a route are learned apart from those of others, with their tail', () => {
  const times = new HoldingTimes();
  const random = new Random(2);
  assert.is(times.predictMs('swap'), undefined);
  Array.from({ length: 500 }).forEach(() => {
    times.note('swap', drawMs(random, 40));
    times.note('catalogue', drawMs(random, 400));
  });
  const [swapMs = 0, catalogueMs = 0] = ['swap', 'catalogue'].map((each) => times.predictMs(each));
  assert.ok(swapMs > 38 && swapMs < 58, `${swapMs} ms, the mean is 48`);
  assert.ok(catalogueMs > 380 && catalogueMs < 580, `${catalogueMs} ms, the mean is 480`);
  const median = times.errors.readQuantile(0.5) ?? 0;
  assert.ok(median > 0.6 && median < 1.1, `median error ${median}`);
});

test('a route whose requests become slower is followed', () => {
  const times = new HoldingTimes();
  const random = new Random(3);
  Array.from({ length: 500 }).forEach(() => times.note('swap', drawMs(random, 40)));
  Array.from({ length: 600 }).forEach(() => times.note('swap', drawMs(random, 200)));
  const meanMs = times.predictMs('swap') ?? 0;
  assert.ok(meanMs > 190 && meanMs < 290, `${meanMs} ms, the mean is 240`);
});

test.run();
