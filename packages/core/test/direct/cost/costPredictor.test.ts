import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { CostPredictor } from '../../../src/direct/cost/costPredictor.js';
import { EngineWork } from '../../../src/direct/cost/engineWork.js';
import { CostBasis } from '../../../src/direct/cost/requestCost.js';
import { Random } from '../../../src/ports/random.js';
import { DEFAULT_COSTS } from '../groupModel.js';
import { drawNormal } from '../unevenLoad.js';

/** Spread of answers around their hints. */
const HINT_SPREAD = 0.5;

const LIMIT_TOKENS = 2_000;

const random = new Random(5);

function createPredictor(): CostPredictor {
  return new CostPredictor(new EngineWork(DEFAULT_COSTS));
}

function createInput(answerTokensHint: number | undefined, workspace = 'parish') {
  const size = { promptTokens: 612, answerTokensMax: LIMIT_TOKENS, answerTokensHint };
  return { route: 'stream', workspace, size };
}

/** Lets a predictor see answers that are off their hints by a factor and the usual spread. */
function learn(predictor: CostPredictor, factor: number, count: number, workspace?: string): void {
  Array.from({ length: count }).forEach(() => {
    const cost = predictor.predict(createInput(100, workspace));
    const tokens = 100 * factor * Math.exp(HINT_SPREAD * drawNormal(random));
    predictor.noteAnswered(cost, Math.min(LIMIT_TOKENS, tokens));
  });
}

test('before any answer a declared size counts as it is, and a missing one as the usual', () => {
  const predictor = createPredictor();
  const declared = predictor.predict(createInput(80));
  assert.is(declared.answerTokens, 80);
  assert.is(declared.prefillMs, 10);
  const unknown = predictor.predict({ route: 'stream', workspace: '', size: undefined });
  assert.is(unknown.answerTokens, DEFAULT_COSTS.answerTokens);
  assert.is(unknown.basis, CostBasis.Route);
  assert.not(unknown.isDeclared);
});

test('an answer is not expected to exceed its limit, and a limit alone is corrected', () => {
  const predictor = createPredictor();
  assert.is(predictor.predict(createInput(5_000)).answerTokens, LIMIT_TOKENS);
  const input = createInput(undefined);
  Array.from({ length: 20 }).forEach(() =>
    predictor.noteAnswered(predictor.predict(input), LIMIT_TOKENS / 10),
  );
  const { answerTokens, basis } = predictor.predict(input);
  assert.is(basis, CostBasis.Limit);
  assert.ok(Math.abs(answerTokens - LIMIT_TOKENS / 10) < 20, `${answerTokens} expected`);
});

test('hints that are right at the median are corrected to the mean', () => {
  const predictor = createPredictor();
  learn(predictor, 1, 1_000);
  const { answerTokens } = predictor.predict(createInput(100));
  // The mean of a lognormal distribution with this spread is 1.13 times its median.
  assert.ok(answerTokens > 100 && answerTokens < 128, `${answerTokens} expected`);
  const median = predictor.errors.readQuantile(0.5) ?? 0;
  const high = predictor.errors.readQuantile(0.9) ?? 0;
  assert.ok(median > 0.75 && median < 1.1, `median ${median}`);
  assert.ok(high > 1.3 && high < 2.2, `nine tenths ${high}`);
});

test('after a change of mix predictions follow within a few hundred answers', () => {
  const predictor = createPredictor();
  // Each answer is of another workspace, so that none has a correction of its own.
  Array.from({ length: 1_000 }).forEach((_, at) => learn(predictor, 1, 1, `before-${at}`));
  Array.from({ length: 300 }).forEach((_, at) => learn(predictor, 3, 1, `after-${at}`));
  const { answerTokens } = predictor.predict(createInput(100));
  assert.ok(answerTokens > 230 && answerTokens < 450, `${answerTokens} expected`);
});

test('a workspace with false hints is corrected, and hardly changes what others get', () => {
  const predictor = createPredictor();
  Array.from({ length: 20 }).forEach(() => {
    learn(predictor, 1, 18, 'parish');
    learn(predictor, 6, 2, 'liar');
  });
  const honest = predictor.predict(createInput(100, 'parish')).answerTokens;
  const liar = predictor.predict(createInput(100, 'liar')).answerTokens;
  assert.ok(honest > 80 && honest < 160, `${honest} for the honest one`);
  assert.ok(liar > 350, `${liar} for the other`);
});

test('a correction is bounded, however false the hints are', () => {
  const predictor = createPredictor();
  learn(predictor, 1, 500, 'parish');
  Array.from({ length: 200 }).forEach(() =>
    predictor.noteAnswered(predictor.predict(createInput(1, 'liar')), LIMIT_TOKENS),
  );
  const { answerTokens } = predictor.predict(createInput(1, 'liar'));
  assert.ok(answerTokens <= 8 * 64, `${answerTokens} expected`);
});

test('with 35,000 workspaces memory stays bounded', () => {
  const predictor = createPredictor();
  Array.from({ length: 35_000 }).forEach((_, at) => {
    const cost = predictor.predict(createInput(100, `workspace-${at}`));
    predictor.noteAnswered(cost, 100);
  });
  assert.ok(predictor.recordCount < 3_000, `${predictor.recordCount} records`);
});

test.run();
