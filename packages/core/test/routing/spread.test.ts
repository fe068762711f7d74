/** Spreading of expected attempts over options. */
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

function isNear(shares: readonly number[], wanted: readonly number[]): boolean {
  return shares.every((share, index) => Math.abs(share - (wanted[index] ?? 0)) < 0.03);
}

test('attempts bring the cheapest options to one level and leave the others alone', () => {
  const options = [0, 10, 25].map((costMs) => ({ costMs, marginalMs: 10 }));
  const shares = countDraws(options, 3);
  assert.ok(isNear(shares, [2 / 3, 1 / 3, 0]), shares.join(' '));
});

test('an option on which a place costs twice as much takes half as many', () => {
  const options = [10, 20].map((marginalMs) => ({ costMs: 0, marginalMs }));
  const shares = countDraws(options, 3);
  assert.ok(isNear(shares, [2 / 3, 1 / 3]), shares.join(' '));
});

test('without expected attempts the cheapest is drawn, at random among equals', () => {
  const options = [5, 5, 6].map((costMs) => ({ costMs, marginalMs: 10 }));
  const shares = countDraws(options, 0);
  assert.ok(isNear(shares, [0.5, 0.5, 0]), shares.join(' '));
});

test.run();
