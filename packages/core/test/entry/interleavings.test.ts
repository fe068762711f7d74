import { install } from '@sinonjs/fake-timers';
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { Outcome } from '../../src/model/reason.js';

import { ACTION_WEIGHTS, ChaosFixture, type ChaosStep, type Submission } from './chaosFixture.js';
import { FakeSide } from './fakeSide.js';
import { checkIdle } from './scenario.js';

const RUNS = Number(process.env.INTERLEAVINGS ?? 1000);

const SEED = Number(process.env.SEED ?? 1);

const STEPS_MAX = 120;

const STEP = fc.record({
  action: fc.oneof(
    ...Object.entries(ACTION_WEIGHTS).map(([action, weight]) => ({
      weight,
      arbitrary: fc.constant(action as ChaosStep['action']),
    })),
  ),
  pick: fc.nat({ max: 255 }),
});

function listExecutions(chaos: ChaosFixture) {
  return chaos.sides.flatMap((side) => side.executions);
}

function checkRunsAtMostOnce(chaos: ChaosFixture, { body, isRepeatable }: Submission): void {
  if (isRepeatable) return;
  const runs = listExecutions(chaos).filter((execution) => execution.body === body);
  assert.ok(runs.length <= 1, `${body} ran as ${runs.map((run) => run.attemptId).join(', ')}`);
}

function checkNotRunIsTrue(chaos: ChaosFixture, submission: Submission): void {
  if (submission.caller.refusal?.outcome !== Outcome.NotRun) return;
  const runs = listExecutions(chaos).filter(({ attemptId }) =>
    attemptId.startsWith(submission.attemptPrefix),
  );
  assert.is(runs.length, 0, `${submission.attemptPrefix} was refused as not run but ran`);
}

/** A completed answer must equal that of one execution of the caller's own request. */
function checkAnswer(chaos: ChaosFixture, { caller, body }: Submission): void {
  if (caller.ends[0] !== 'end') return;
  const answers = listExecutions(chaos)
    .filter((execution) => execution.body === body)
    .map(({ attemptId }) => FakeSide.answerOf(attemptId, body));
  assert.ok(answers.includes(caller.text), `${body} was answered with ${caller.text}`);
}

function checkEndsOnce(chaos: ChaosFixture, submission: Submission): void {
  const { caller, entry, isHungUp, body } = submission;
  const isEndOptional = isHungUp || chaos.killed.has(entry);
  const ends = isEndOptional ? caller.ends.slice(0, 1) : caller.ends;
  assert.is(
    ends.length,
    isEndOptional ? ends.length : 1,
    `${body} ended with ${caller.ends.join()}`,
  );
  if (caller.ends[0] === 'refuse') assert.is(caller.status, 0, 'a refused request has no head');
}

function checkNothingLeft(chaos: ChaosFixture, timers: number): void {
  chaos.entries.filter((entry) => !chaos.killed.has(entry)).forEach(checkIdle);
  assert.is(timers, 0, 'no timer is left');
}

async function checkInterleaving(steps: readonly ChaosStep[]): Promise<void> {
  const clock = install({ toNotFake: ['nextTick', 'queueMicrotask'] });
  try {
    const chaos = new ChaosFixture(clock);
    await steps.reduce((before, step) => before.then(() => chaos.apply(step)), Promise.resolve());
    await chaos.settle();
    chaos.submissions.forEach((submission) => {
      checkRunsAtMostOnce(chaos, submission);
      checkNotRunIsTrue(chaos, submission);
      checkAnswer(chaos, submission);
      checkEndsOnce(chaos, submission);
    });
    checkNothingLeft(chaos, clock.countTimers());
  } finally {
    clock.uninstall();
  }
}

test('no interleaving of messages and faults breaks a guarantee to callers', async () => {
  const steps = fc.array(STEP, { minLength: 1, maxLength: STEPS_MAX, size: 'max' });
  await fc.assert(fc.asyncProperty(steps, checkInterleaving), { numRuns: RUNS, seed: SEED });
});

test.run();
