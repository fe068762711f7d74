import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { estimateCost } from '../../../src/direct/sharing/workspaceClaim.js';
import { DEFAULT_COSTS } from '../groupModel.js';

const { promptTokens, answerTokens } = DEFAULT_COSTS;

function estimate(prompt: number, answerMax: number, hint?: number): number {
  const size = { promptTokens: prompt, answerTokensMax: answerMax, answerTokensHint: hint };
  return estimateCost(size, DEFAULT_COSTS);
}

test('the usual request costs 1, and one of twice its size 2', () => {
  assert.is(estimate(promptTokens, answerTokens), 1);
  assert.is(estimate(2 * promptTokens, 2 * answerTokens, 2 * answerTokens), 2);
});

test('an answer limit far above the usual answer costs nothing by itself', () => {
  assert.is(estimate(promptTokens, 100 * answerTokens), 1);
});

test('false declarations cost between a quarter and 8 usual requests', () => {
  assert.is(estimate(0, 0, 0), 0.25);
  assert.is(estimate(1e9, 1e9, 1e9), 8);
});

test('a hint counts up to the limit of the answer', () => {
  assert.is(estimate(promptTokens, answerTokens, 50 * answerTokens), 1);
});

test('without a declared size or configured costs a request counts as usual', () => {
  assert.is(estimateCost(undefined, DEFAULT_COSTS), 1);
  const size = { promptTokens: 9_000, answerTokensMax: 900, answerTokensHint: 900 };
  assert.is(estimateCost(size, undefined), 1);
  assert.is(estimateCost(size, { ...DEFAULT_COSTS, decodeMs: 0, promptTokens: 0 }), 1);
});

test.run();
