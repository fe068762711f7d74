import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { EndProof, type EndedResponse } from '../../src/direct/endProof.js';
import { ResponseEnd } from '../../src/direct/responseEnd.js';

const UNFRAMED: EndedResponse = {
  upstream: 'a',
  isDelimited: false,
  hasNewEvents: true,
  hasRepeatedEvent: false,
};
const EMPTY: EndedResponse = { ...UNFRAMED, upstream: 'b', hasNewEvents: false };
const REPEATED: EndedResponse = { ...EMPTY, hasRepeatedEvent: true };
const DENIED: EndedResponse = { ...EMPTY, isDelimited: true };

/** Responses to one request in order, and what the last one shows. */
const CASES: readonly (readonly [string, readonly EndedResponse[], ResponseEnd])[] = [
  ['one unframed response', [UNFRAMED], ResponseEnd.Unconfirmed],
  ['one delimited response', [{ ...UNFRAMED, isDelimited: true }], ResponseEnd.Complete],
  ['an empty one after an unframed one', [UNFRAMED, EMPTY], ResponseEnd.Inconclusive],
  ['an empty one', [EMPTY], ResponseEnd.Empty],
  ['two empty ones', [EMPTY, EMPTY], ResponseEnd.Inconclusive],
  ['a repeated event after an unframed one', [UNFRAMED, EMPTY, REPEATED], ResponseEnd.Complete],
  ['a repeated event alone', [REPEATED], ResponseEnd.Unconfirmed],
  ['a repeated event and a length', [{ ...REPEATED, isDelimited: true }], ResponseEnd.Complete],
  ['no rest after an unframed one', [UNFRAMED, DENIED], ResponseEnd.Complete],
  ['no rest at one upstream', [DENIED, DENIED], ResponseEnd.Unconfirmed],
  ['no rest at two upstreams', [DENIED, { ...DENIED, upstream: 'c' }], ResponseEnd.Complete],
];

CASES.forEach(([name, responses, end]) => {
  test(`the end of a stream: ${name}`, () => {
    const proof = new EndProof(false);
    assert.is(responses.map((response) => proof.add(response)).at(-1), end);
  });
});

test('new events discard earlier ends', () => {
  const proof = new EndProof(false);
  proof.add(UNFRAMED);
  proof.add(EMPTY);
  proof.reset();
  assert.equal([proof.isClaimed, proof.isInconclusive, proof.endedUpstreams], [false, false, []]);
  assert.is(proof.add(REPEATED), ResponseEnd.Unconfirmed);
});

test.run();
