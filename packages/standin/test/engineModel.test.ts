import { install, type Clock } from '@sinonjs/fake-timers';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { EngineModel, SubmitError, type EngineWork } from '../src/engine/engineModel.js';
import { parseEngineOptions } from '../src/engine/engineOptions.js';
import type { Sequence } from '../src/engine/sequence.js';

interface Context {
  clock: Clock;
}

/** A submitted request and the callbacks it has received. */
interface Probe {
  readonly result: Sequence | SubmitError;
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
  const received = { tokens: 0, isEnded: false, isFailed: false };
  const submission = model.submit(
    { ...WORK, ...work },
    {
      onToken: () => {
        received.tokens += 1;
        return isReady;
      },
      onEnd: () => {
        received.isEnded = true;
      },
      onFailure: () => {
        received.isFailed = true;
      },
    },
  );
  return Object.assign(received, { result: submission.val });
}

test.before.each((context) => {
  context.clock = install();
});

test.after.each(({ clock }) => {
  clock.uninstall();
});

test('every running request generates one token per step', ({ clock }) => {
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

test('a cached prompt is not prefilled again', ({ clock }) => {
  const model = createModel({ prefillPerTokenMs: 1 });
  const work = { promptTokens: 100, prefixHashes: ['h1', 'h2'], maxTokens: 1 };
  submit(model, work);
  clock.tick(STEP_MS + 100);
  const second = submit(model, work);
  clock.tick(STEP_MS);
  assert.ok(second.isEnded);
});

test('an attempt with imported KV cache prefills only the rest of its prompt', ({ clock }) => {
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

test('a slow reader does not delay other requests', ({ clock }) => {
  const model = createModel();
  const slow = submit(model, {}, false);
  const quick = submit(model);
  clock.tick(5 * STEP_MS);
  assert.equal([slow.tokens, quick.tokens], [1, 4]);
});

test('a slowed-down engine multiplies the duration of each step by the factor', ({ clock }) => {
  const model = createModel();
  model.slowDown(5);
  const probe = submit(model);
  clock.tick(5 * STEP_MS);
  assert.is(probe.tokens, 1);
});

test('a stalled engine continues after the stall time', ({ clock }) => {
  const model = createModel();
  const probe = submit(model);
  model.stall(1_000);
  clock.tick(1_000);
  assert.is(probe.tokens, 0);
  clock.tick(STEP_MS);
  assert.is(probe.tokens, 1);
});

test('the load report is delayed by the report lag', ({ clock }) => {
  const model = createModel({ reportLagMs: 200 });
  clock.tick(1_000);
  submit(model);
  clock.tick(200);
  assert.is(model.readLoad().running, 0);
  clock.tick(100);
  assert.is(model.readLoad().running, 1);
});

test('an engine that turned cold tolerates excess load for the given time', ({ clock }) => {
  const model = createModel({ coldLimit: 1 });
  const first = submit(model);
  model.turnCold(500);
  clock.tick(499);
  const second = submit(model);
  assert.is.not(second.result, SubmitError.Crashed);
  clock.tick(1);
  assert.is(submit(model).result, SubmitError.Crashed);
  assert.ok(first.isFailed && second.isFailed);
});

test('a crashed engine restarts cold with a new incarnation', ({ clock }) => {
  const model = createModel({ isWarmAtStart: false, coldLimit: 1, restartMs: 300, reportLagMs: 0 });
  const before = model.readLoad().engineIncarnation;
  submit(model);
  submit(model);
  clock.tick(299);
  assert.is(submit(model).result, SubmitError.Down);
  clock.tick(101);
  assert.ok(model.isUp && !model.isWarm);
  assert.is.not(model.readLoad().engineIncarnation, before);
});

test('a cold engine can report that it is warm', ({ clock }) => {
  const model = createModel({ isWarmAtStart: false, reportLagMs: 0 });
  model.overrideWarm(true);
  clock.tick(100);
  assert.ok(model.readLoad().isWarm && !model.isWarm);
});

test.run();
