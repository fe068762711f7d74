import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { EventSequence } from '../../src/direct/eventSequence.js';

function createSequence(...ids: readonly string[]): EventSequence {
  const sequence = new EventSequence();
  sequence.append(ids);
  return sequence;
}

/** Ids so far, ids that can follow and ids that cannot. */
const CASES: readonly (readonly [readonly string[], readonly string[], readonly string[]])[] = [
  [[], ['1', '7', 'a'], []],
  [['5'], ['6'], ['9', '5', '4', '1']],
  [
    ['1', '2', '3'],
    ['4', 'a'],
    ['3', '5', '1'],
  ],
  [['2', '4'], ['6'], ['5', '7', '4']],
  [
    ['1', '2', '4'],
    ['5', '9'],
    ['4', '3'],
  ],
  [['a'], ['b', '1'], ['a']],
];

CASES.forEach(([ids, next, others]) => {
  test(`after "${ids.join()}" only the next id can follow`, () => {
    const sequence = createSequence(...ids);
    assert.is(sequence.lastId, ids.at(-1));
    assert.ok(next.every((id) => sequence.canFollow(id)));
    assert.not(others.some((id) => sequence.canFollow(id)));
    assert.is(sequence.canFollow(undefined), ids.length === 0);
  });
});

test.run();
