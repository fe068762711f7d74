import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { weighRequest, type RequestWeight } from '../../../src/direct/sharing/workspaceClaim.js';
import { DEFAULT_COSTS } from '../groupModel.js';

const { promptTokens, answerTokens } = DEFAULT_COSTS;
const ENGINE = { slots: 8, costs: DEFAULT_COSTS, group: undefined };
const USUAL = { work: 1, load: 1 };

function weigh(prompt: number, answerMax: number, hint?: number): RequestWeight {
  const size = { promptTokens: prompt, answerTokensMax: answerMax, answerTokensHint: hint };
  return weighRequest(size, ENGINE);
}

test('the usual request weighs 1; one of twice its size works twice, for twice the time', () => {
  assert.equal(weigh(promptTokens, answerTokens), USUAL);
  const twice = weigh(2 * promptTokens, 2 * answerTokens, 2 * answerTokens);
  assert.equal(twice, { work: 2, load: 1 });
});

test('a long prompt loads its engine more for the time of its answer', () => {
  const { work, load } = weigh(20 * promptTokens, answerTokens);
  assert.ok(work > 3 && load > 2, `${work}, ${load}`);
});

test('an answer limit far above the usual answer weighs nothing by itself', () => {
  assert.equal(weigh(promptTokens, 100 * answerTokens), USUAL);
});

test('false declarations weigh between a quarter and 8 usual requests', () => {
  assert.is(weigh(0, 0, 0).work, 0.25);
  assert.is(weigh(1e9, 1e9, 1e9).work, 8);
  assert.is(weigh(1e9, 0, 0).load, 8);
});

test('a hint counts up to the limit of the answer', () => {
  assert.equal(weigh(promptTokens, answerTokens, 50 * answerTokens), USUAL);
});

test('without a declared size or configured costs a request weighs as the usual one', () => {
  assert.equal(weighRequest(undefined, ENGINE), USUAL);
  const size = { promptTokens: 9_000, answerTokensMax: 900, answerTokensHint: 900 };
  assert.equal(weighRequest(size, { slots: 8, group: undefined }), USUAL);
  const costs = { ...DEFAULT_COSTS, decodeMs: 0, promptTokens: 0 };
  assert.is(weighRequest(size, { ...ENGINE, costs }).work, 1);
});

test.run();
