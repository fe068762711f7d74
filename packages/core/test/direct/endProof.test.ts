import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { EndProof, type EndedResponse } from '../../src/direct/endProof.js';
import { ResponseEnd } from '../../src/direct/responseEnd.js';

const UNFRAMED: EndedResponse = {
  upstream: 'a',
  isDelimited: false,
  newEvents: 28,
  repeatedEvents: 0,
  lacksRepeats: false,
};
const EMPTY: EndedResponse = { ...UNFRAMED, upstream: 'b', newEvents: 0 };
const LACKING: EndedResponse = { ...EMPTY, repeatedEvents: 1, lacksRepeats: true };
const REPEATED: EndedResponse = { ...EMPTY, repeatedEvents: 1 };
const DENIED: EndedResponse = { ...EMPTY, isDelimited: true };

const { Complete, Empty, Inconclusive, Unconfirmed } = ResponseEnd;

/** Responses to one request in order, and what the last one shows. */
const CASES: readonly (readonly [string, readonly EndedResponse[], ResponseEnd])[] = [
  ['one unframed response', [UNFRAMED], Unconfirmed],
  ['one delimited response', [{ ...UNFRAMED, isDelimited: true }], Complete],
  ['an empty one after an unframed one', [UNFRAMED, EMPTY], Inconclusive],
  ['an empty one', [EMPTY], Empty],
  ['two empty ones', [EMPTY, EMPTY], Inconclusive],
  ['a repeated event after an unframed one', [UNFRAMED, EMPTY, REPEATED], Complete],
  ['part of the repeated events', [UNFRAMED, LACKING], Inconclusive],
  [
    'part of the repeated events and a length',
    [UNFRAMED, { ...LACKING, isDelimited: true }],
    Inconclusive,
  ],
  ['a repeated event alone', [REPEATED], Unconfirmed],
  ['a repeated event and a length', [{ ...REPEATED, isDelimited: true }], Complete],
  ['no rest after an unframed one', [UNFRAMED, DENIED], Complete],
  ['no rest at one upstream', [DENIED, DENIED], Unconfirmed],
  ['no rest at two upstreams', [DENIED, { ...DENIED, upstream: 'c' }], Complete],
];

CASES.forEach(([name, responses, end]) => {
  test(`the end of a stream: ${name}`, () => {
    const proof = new EndProof(false);
    assert.is(responses.map((response) => proof.add(response, 1)).at(-1), end);
  });
});

test('as many confirmations as needed complete a stream', () => {
  const proof = new EndProof(false);
  const ends = [UNFRAMED, REPEATED, { ...REPEATED, repeatedEvents: 2 }].map((response) =>
    proof.add(response, 2),
  );
  assert.equal(ends, [Unconfirmed, Unconfirmed, Complete]);
});

test('a number of events after which a response has ended confirms nothing', () => {
  const proof = new EndProof(false);
  proof.add({ ...UNFRAMED, newEvents: 1 }, 1);
  assert.equal([proof.chooseRepeats([1]), proof.chooseRepeats([1, 2])], [undefined, 2]);
  proof.add({ ...REPEATED, repeatedEvents: 2 }, 2);
  assert.equal([proof.chooseRepeats([1, 2]), proof.chooseRepeats([1, 2, 3])], [2, 3]);
});

test('new events discard earlier ends', () => {
  const proof = new EndProof(false);
  proof.add(UNFRAMED, 1);
  proof.add(EMPTY, 1);
  proof.reset();
  assert.equal([proof.isClaimed, proof.isInconclusive, proof.endedUpstreams], [false, false, []]);
  assert.is(proof.add(REPEATED, 1), Unconfirmed);
});

test.run();
