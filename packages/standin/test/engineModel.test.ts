import { install, type Clock } from '@sinonjs/fake-timers';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { EngineModel, SubmitError, type EngineWork } from '../src/engine/engineModel.js';
import { parseEngineOptions } from '../src/engine/engineOptions.js';
import type { Sequence } from '../src/engine/sequence.js';

interface Context {
  clock: Clock;
}

/** One request and what it has heard. */
interface Probe {
  readonly job: Sequence | SubmitError;
  tokens: number;
  isEnded: boolean;
  isFailed: boolean;
}

const STEP_MS = 10;
const COSTS = { stepMs: STEP_MS, stepPerSequenceMs: 0, prefillPerTokenMs: 0, coldSlowdown: 1 };
const WORK: EngineWork = {
  attemptId: 'a',
  priority: 5,
  promptTokens: 1,
  prefixHashes: [],
  firstToken: 0,
  maxTokens: 1_000,
};
const test = suite<Context>('EngineModel');

function createModel(options: Record<string, unknown> = {}): EngineModel {
  return new EngineModel(parseEngineOptions({ ...COSTS, isWarmAtStart: true, ...options }));
}

function submit(model: EngineModel, work: Partial<EngineWork> = {}, isReady = true): Probe {
  const heard = { tokens: 0, isEnded: false, isFailed: false };
  const job = model.submit(
    { ...WORK, ...work },
    {
      onToken: () => {
        heard.tokens += 1;
        return isReady;
      },
      onEnd: () => {
        heard.isEnded = true;
      },
      onFailure: () => {
        heard.isFailed = true;
      },
    },
  );
  return Object.assign(heard, { job: job.val });
}

test.before.each((context) => {
  context.clock = install();
});

test.after.each(({ clock }) => {
  clock.uninstall();
});

test('every running request gains one token a step', ({ clock }) => {
  const model = createModel();
  const probes = [submit(model), submit(model)];
  clock.tick(3 * STEP_MS);
  assert.equal(
    probes.map(({ tokens }) => tokens),
    [3, 2],
  );
});

test('a step takes longer with more requests in it', ({ clock }) => {
  const model = createModel({ stepPerSequenceMs: STEP_MS });
  const first = submit(model);
  submit(model);
  clock.tick(2 * STEP_MS);
  assert.is(first.tokens, 1);
  clock.tick(2 * STEP_MS);
  assert.is(first.tokens, 1);
  clock.tick(STEP_MS);
  assert.is(first.tokens, 2);
});

test('a prompt held by the cache is not computed again', ({ clock }) => {
  const model = createModel({ prefillPerTokenMs: 1 });
  const work = { promptTokens: 100, prefixHashes: ['h1', 'h2'], maxTokens: 1 };
  submit(model, work);
  clock.tick(STEP_MS + 100);
  const second = submit(model, work);
  clock.tick(STEP_MS);
  assert.ok(second.isEnded);
});

test('an attempt with imported KV cache computes only the rest of its prompt', ({ clock }) => {
  const model = createModel({ prefillPerTokenMs: 1 });
  model.inventory.importKv('moved', 100);
  const probe = submit(model, { attemptId: 'moved', promptTokens: 100, maxTokens: 1 });
  clock.tick(STEP_MS);
  assert.ok(probe.isEnded);
});

test('the request with the lowest priority number runs first', ({ clock }) => {
  const model = createModel({ maxRunning: 1 });
  submit(model, { maxTokens: 1 });
  const late = submit(model, { priority: 9 });
  const urgent = submit(model, { priority: 0 });
  clock.tick(2 * STEP_MS);
  assert.equal([urgent.tokens, late.tokens], [1, 0]);
});

test('a slow reader holds up no other request', ({ clock }) => {
  const model = createModel();
  const slow = submit(model, {}, false);
  const quick = submit(model);
  clock.tick(5 * STEP_MS);
  assert.equal([slow.tokens, quick.tokens], [1, 4]);
});

test('a slow engine takes the factor longer for each step', ({ clock }) => {
  const model = createModel();
  model.slowDown(5);
  const probe = submit(model);
  clock.tick(5 * STEP_MS);
  assert.is(probe.tokens, 1);
});

test('a stalled engine goes on after its time', ({ clock }) => {
  const model = createModel();
  const probe = submit(model);
  model.stall(1_000);
  clock.tick(1_000);
  assert.is(probe.tokens, 0);
  clock.tick(STEP_MS);
  assert.is(probe.tokens, 1);
});

test('the load report lags', ({ clock }) => {
  const model = createModel({ reportLagMs: 200 });
  clock.tick(1_000);
  submit(model);
  clock.tick(200);
  assert.is(model.readLoad().running, 0);
  clock.tick(100);
  assert.is(model.readLoad().running, 1);
});

test('an engine that turned cold bears what is in flight for the time given', ({ clock }) => {
  const model = createModel({ coldLimit: 1 });
  const first = submit(model);
  model.turnCold(500);
  clock.tick(499);
  const second = submit(model);
  assert.is.not(second.job, SubmitError.Crashed);
  clock.tick(1);
  assert.is(submit(model).job, SubmitError.Crashed);
  assert.ok(first.isFailed && second.isFailed);
});

test('an engine that fell over comes back cold under another incarnation', ({ clock }) => {
  const model = createModel({ isWarmAtStart: false, coldLimit: 1, restartMs: 300, reportLagMs: 0 });
  const before = model.readLoad().engineIncarnation;
  submit(model);
  submit(model);
  clock.tick(299);
  assert.is(submit(model).job, SubmitError.Down);
  clock.tick(101);
  assert.ok(model.isUp && !model.isWarm);
  assert.is.not(model.readLoad().engineIncarnation, before);
});

test('an engine can claim to be warm while it is cold', ({ clock }) => {
  const model = createModel({ isWarmAtStart: false, reportLagMs: 0 });
  model.overrideWarm(true);
  clock.tick(100);
  assert.ok(model.readLoad().isWarm && !model.isWarm);
});

test.run();
