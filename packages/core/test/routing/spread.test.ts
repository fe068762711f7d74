/** Spreading expected attempts over options. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { Random } from '../../src/ports/random.js';
import { drawOption, type SpreadOption } from '../../src/routing/spread.js';

const DRAWS = 4_000;

function countDraws(options: readonly SpreadOption[], attempts: number): readonly number[] {
  const random = new Random(5);
  const drawn = Array.from({ length: DRAWS }, () => drawOption(options, attempts, random.next()));
  return options.map((option) => drawn.filter((each) => each === option).length / DRAWS);
}

function isClose(shares: readonly number[], wanted: readonly number[]): boolean {
  return shares.every((share, index) => Math.abs(share - (wanted[index] ?? 0)) < 0.03);
}

test('attempts raise the cheapest options to one cost level and avoid the others', () => {
  const options = [0, 10, 25].map((costMs) => ({ costMs, marginalMs: 10 }));
  const shares = countDraws(options, 3);
  assert.ok(isClose(shares, [2 / 3, 1 / 3, 0]), shares.join(' '));
});

test('an option with twice the marginal cost gets half as many attempts', () => {
  const options = [10, 20].map((marginalMs) => ({ costMs: 0, marginalMs }));
  const shares = countDraws(options, 3);
  assert.ok(isClose(shares, [2 / 3, 1 / 3]), shares.join(' '));
});

test('without expected attempts one of the cheapest options is drawn at random', () => {
  const options = [5, 5, 6].map((costMs) => ({ costMs, marginalMs: 10 }));
  const shares = countDraws(options, 0);
  assert.ok(isClose(shares, [0.5, 0.5, 0]), shares.join(' '));
});

test.run();
