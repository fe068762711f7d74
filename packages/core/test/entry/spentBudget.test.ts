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

/** Limits of the class of the requests. */
const PROGRESS_TIMEOUT_MS = 4_000;
const DEADLINE_MS = 20_000;

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

/** Guards against a slow upstream whose answer is cancelled for a retry that may not be made. */
scenario('a slow answer is waited for if no retry is left', async (entry, clock) => {
  await spendRetries(entry, clock);
  const { caller, target } = await submit(entry, clock);
  await clock.tickAsync(PROGRESS_TIMEOUT_MS);
  const [inquiry, ...others] = entry.links.get(target)?.outbox ?? [];
  assert.is(inquiry?.type, MessageType.Inquire);
  assert.equal(others, []);
  entry.deliver();
  await clock.tickAsync(PROGRESS_TIMEOUT_MS - MOMENT_MS);
  entry.finishAll();
  checkAnswered(caller);
  assert.is(entry.countExecutions(BODY), 1);
});

/** Moves the clock by a number of progress timeouts, and answers the inquiries. */
async function passTimeouts(entry: EntryFixture, clock: TestClock, count: number): Promise<void> {
  if (count === 0) return;
  await clock.tickAsync(PROGRESS_TIMEOUT_MS);
  entry.deliver();
  await passTimeouts(entry, clock, count - 1);
}

scenario('a slow request runs elsewhere once a retry is free', async (entry, clock) => {
  await spendRetries(entry, clock);
  await clock.tickAsync(WINDOW_MS - 2 * PROGRESS_TIMEOUT_MS);
  [...entry.sides.keys()].forEach((name) => entry.report(name));
  const { caller, target } = await submit(entry, clock);
  await passTimeouts(entry, clock, 1);
  assert.is(entry.countRunning(target), 1);
  assert.is(entry.countExecutions(BODY), 1);
  await passTimeouts(entry, clock, 1);
  assert.is(entry.countRunning(target), 0);
  assert.is(entry.countExecutions(BODY), 2);
  entry.finishAll();
  checkAnswered(caller, 2);
});

/** Guards against a silent upstream that holds a request past its time. */
scenario('a wait for a slow answer ends at the deadline', async (entry, clock) => {
  await spendRetries(entry, clock);
  const { caller, target } = await submit(entry, clock);
  await passTimeouts(entry, clock, DEADLINE_MS / PROGRESS_TIMEOUT_MS - 1);
  await clock.tickAsync(PROGRESS_TIMEOUT_MS - MOMENT_MS);
  assert.equal(caller.ends, []);
  await clock.tickAsync(MOMENT_MS);
  assert.is(caller.refusal?.reason, RefusalReason.DeadlinePassed);
  assert.is(caller.refusal?.outcome, Outcome.Unknown);
  entry.deliver();
  assert.is(entry.countRunning(target), 0);
});

/** Guards against an attempt that runs on for nobody after a late inquiry. */
scenario('an attempt whose inquiry is not answered is cancelled', async (entry, clock) => {
  await spendRetries(entry, clock);
  const { caller, target } = await submit(entry, clock);
  await clock.tickAsync(PROGRESS_TIMEOUT_MS + DEFAULT_TIMING.inquiryLimitMs - MOMENT_MS);
  assert.equal(caller.ends, []);
  await clock.tickAsync(MOMENT_MS);
  assert.is(caller.refusal?.reason, RefusalReason.RetryBudgetSpent);
  assert.is(caller.refusal?.outcome, Outcome.Unknown);
  const types = entry.links.get(target)?.outbox.map((message) => message.type);
  assert.equal(types, [MessageType.Inquire, MessageType.Cancel]);
});

test.run();
