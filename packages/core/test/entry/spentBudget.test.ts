/** Requests that may be repeated, but for which the entry has no retry left. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { MessageType } from '../../src/messages/message.js';
import { Outcome, RefusalReason } from '../../src/model/reason.js';
import { DEFAULT_TIMING } from '../../src/model/timing.js';

import type { EntryFixture } from './entryFixture.js';
import type { FakeCaller } from './fakeCaller.js';
import { FakeSide } from './fakeSide.js';
import { scenario, type TestClock } from './scenario.js';

/** Retries that an entry with few requests has in each window. */
const RETRY_FLOOR = 5;

/** Window in which retries count. */
const WINDOW_MS = 30_000;

/** Step of the clock in which nothing else is due. */
const MOMENT_MS = 1;

/** Id and body of the first request after those that used the retries. */
const NUMBER = RETRY_FLOOR + 1;
const BODY = `entry-1/${NUMBER}`;

/** A request and the upstream of its first attempt. */
interface Submitted {
  readonly caller: FakeCaller;
  readonly target: string;
}

/** Sends a request and delivers its submission. */
async function submit(entry: EntryFixture, clock: TestClock, changes = {}): Promise<Submitted> {
  const caller = entry.request(changes);
  await clock.tickAsync(0);
  const { target } = entry;
  entry.deliver();
  return { caller, target };
}

/** Fails the running attempts of the entry at an upstream. */
function failRunning(entry: EntryFixture, name: string): void {
  const failure = {
    type: MessageType.Failed as const,
    outcome: Outcome.Unknown as const,
    reason: RefusalReason.UpstreamFailed,
    retryAfterMs: 0,
  };
  const running = entry.sides.get(name)?.listRunning(entry.board.name) ?? [];
  running.forEach((attemptId) => entry.receive(name, [{ ...failure, attemptId }]));
}

/** Makes one request fail and be answered by its retry. */
async function useRetry(entry: EntryFixture, clock: TestClock): Promise<void> {
  const { caller, target } = await submit(entry, clock);
  failRunning(entry, target);
  entry.deliver();
  entry.finishAll();
  assert.equal(caller.ends, ['end']);
}

/** Uses all retries of a window. */
async function spendRetries(entry: EntryFixture, clock: TestClock): Promise<void> {
  await Array.from({ length: RETRY_FLOOR }).reduce<Promise<void>>(
    (before) => before.then(() => useRetry(entry, clock)),
    Promise.resolve(),
  );
}

function checkAnswered(caller: FakeCaller, attempt = 1): void {
  assert.is(caller.text, FakeSide.answerOf(`entry-1.i1.${NUMBER}.${attempt}`, BODY));
  assert.equal(caller.ends, ['end']);
}

/** Guards against an answer that is given up for a retry that may not be made. */
scenario('an answer is waited for without its link if no retry is left', async (entry, clock) => {
  await spendRetries(entry, clock);
  const { caller, target } = await submit(entry, clock);
  entry.cutLink(target);
  await clock.tickAsync(DEFAULT_TIMING.inquiryLimitMs - MOMENT_MS);
  assert.equal(caller.ends, []);
  entry.openLink(target);
  entry.deliver();
  entry.finishAll();
  checkAnswered(caller);
  assert.is(entry.countExecutions(BODY), 1);
});

scenario('a request whose link stays lost is refused if no retry is left', async (entry, clock) => {
  await spendRetries(entry, clock);
  const { caller, target } = await submit(entry, clock);
  entry.cutLink(target);
  await clock.tickAsync(DEFAULT_TIMING.inquiryLimitMs - MOMENT_MS);
  assert.equal(caller.ends, []);
  await clock.tickAsync(MOMENT_MS);
  assert.is(caller.refusal?.reason, RefusalReason.RetryBudgetSpent);
  assert.is(caller.refusal?.outcome, Outcome.Unknown);
});

scenario('a request without its link runs elsewhere once a retry is free', async (entry, clock) => {
  await spendRetries(entry, clock);
  await clock.tickAsync(WINDOW_MS - 2 * DEFAULT_TIMING.heartbeatMs);
  [...entry.sides.keys()].forEach((name) => entry.report(name));
  const { caller, target } = await submit(entry, clock);
  entry.cutLink(target);
  await clock.tickAsync(DEFAULT_TIMING.heartbeatMs);
  assert.is(entry.target, '');
  await clock.tickAsync(DEFAULT_TIMING.heartbeatMs);
  assert.is.not(entry.target, '');
  assert.is.not(entry.target, target);
  entry.deliver();
  entry.finishAll();
  checkAnswered(caller, 2);
});

/** Guards against a wait for a link that outlasts the request. */
scenario('a wait without a link ends at the deadline', async (entry, clock) => {
  await spendRetries(entry, clock);
  const deadlineMs = DEFAULT_TIMING.inquiryLimitMs / 2;
  const { caller, target } = await submit(entry, clock, { deadlineMs });
  entry.cutLink(target);
  await clock.tickAsync(deadlineMs - MOMENT_MS);
  assert.equal(caller.ends, []);
  await clock.tickAsync(MOMENT_MS);
  assert.is(caller.refusal?.reason, RefusalReason.DeadlinePassed);
  assert.is(caller.refusal?.outcome, Outcome.Unknown);
});

/** Guards against a claim that a request has not run although an attempt may have. */
scenario('a lost submission is refused as not run if no retry is left', async (entry, clock) => {
  await spendRetries(entry, clock);
  const caller = entry.request();
  await clock.tickAsync(0);
  const { target } = entry;
  entry.cutLink(target);
  entry.openLink(target);
  entry.deliver();
  assert.is(caller.refusal?.reason, RefusalReason.RetryBudgetSpent);
  assert.is(caller.refusal?.outcome, Outcome.NotRun);
  assert.is(entry.countExecutions(BODY), 0);
});

test.run();
