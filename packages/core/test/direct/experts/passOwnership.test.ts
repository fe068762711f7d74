import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { findOwnedPass, isPassOwner } from '../../../src/direct/experts/passOwnership.js';

const STEPS = Array.from({ length: 4_000 }, (_, at) => at + 1);

test('every pass has exactly one owner for any number of entries', () => {
  [1, 2, 3, 4, 5, 17].forEach((count) => {
    const entries = Array.from({ length: count }, (_, at) => at);
    STEPS.forEach((step) => {
      const owners = entries.filter((entry) => isPassOwner(step, entry, count));
      assert.is(owners.length, 1, `pass ${step} of ${count} entries`);
    });
  });
});

test('the first of many entries waits for one pass at most, and the last one finds its own', () => {
  STEPS.slice(0, 300).forEach((step) => assert.ok(findOwnedPass(step, 0, 17) <= step + 1));
  assert.ok(findOwnedPass(1, 16, 17) > 1);
});

test('passes owned by the second entry stay the same when more entries join', () => {
  STEPS.slice(0, 300).forEach((step) => {
    assert.is(isPassOwner(step, 1, 4), isPassOwner(step, 1, 17), `pass ${step}`);
  });
});

test.run();
