import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { AttemptState, MessageType } from '../../src/messages/message.js';
import { Outcome, RefusalReason } from '../../src/model/reason.js';
import { DEFAULT_TIMING } from '../../src/model/timing.js';

import type { EntryFixture } from './entryFixture.js';
import type { FakeCaller } from './fakeCaller.js';
import { FakeSide } from './fakeSide.js';
import { scenario, type TestClock } from './scenario.js';

const SWAP = { path: '/v1/swaps/7' };
const BODY = 'entry-1/1';

/** Sends one request and waits until it is submitted on a link. */
async function submit(entry: EntryFixture, clock: TestClock, changes = {}): Promise<FakeCaller> {
  const caller = entry.request(changes);
  await clock.tickAsync(0);
  return caller;
}

/** Delivers the next messages of the running answers. */
function relaySteps(entry: EntryFixture, count: number): void {
  Array.from({ length: count }).forEach(() =>
    entry.sides.forEach((side, name) => entry.receive(name, side.step(entry.board.name))),
  );
}

function cutAndReopen(entry: EntryFixture, name: string): void {
  entry.cutLink(name);
  entry.openLink(name);
}

function checkAnswered(caller: FakeCaller, attempt = 1): void {
  assert.is(caller.text, FakeSide.answerOf(`entry-1.i1.1.${attempt}`, BODY));
  assert.equal(caller.ends, ['end']);
}

scenario('a running request is resumed on a new link and answered once', async (entry, clock) => {
  const caller = await submit(entry, clock, SWAP);
  const { target } = entry;
  entry.deliver();
  cutAndReopen(entry, target);
  entry.deliver();
  entry.finishAll();
  checkAnswered(caller);
  assert.is(entry.countExecutions(BODY), 1);
});

scenario('a lost submission is proved not run, retried and run once', async (entry, clock) => {
  const caller = await submit(entry, clock, SWAP);
  cutAndReopen(entry, entry.target);
  entry.deliver();
  entry.finishAll();
  checkAnswered(caller, 2);
  assert.is(entry.countExecutions(BODY), 1);
  assert.is(entry.counts.get('request.retried link-lost-not-run'), 1);
});

scenario('a running request whose link stays lost is refused as unknown', async (entry, clock) => {
  const caller = await submit(entry, clock, SWAP);
  const { target } = entry;
  entry.deliver();
  entry.cutLink(target);
  await clock.tickAsync(DEFAULT_TIMING.inquiryLimitMs);
  assert.is(caller.refusal?.outcome, Outcome.Unknown);
  assert.is(entry.countExecutions(BODY), 1);
});

scenario('a request lost in a restart of its side process is not rerun', async (entry, clock) => {
  const caller = await submit(entry, clock, SWAP);
  const { target } = entry;
  entry.deliver();
  entry.sides.get(target)?.restart();
  cutAndReopen(entry, target);
  entry.deliver();
  assert.is(caller.refusal?.outcome, Outcome.Unknown);
  assert.is(entry.countExecutions(BODY), 1);
});

scenario('a request whose record may have expired is refused as unknown', async (entry, clock) => {
  const caller = await submit(entry, clock, SWAP);
  const { target } = entry;
  entry.cutLink(target);
  Object.assign(entry.board.upstreams.get(target) ?? {}, {
    tickMs: DEFAULT_TIMING.attemptKeptMs,
  });
  entry.openLink(target);
  entry.deliver();
  assert.is(caller.refusal?.outcome, Outcome.Unknown);
  assert.is(entry.countExecutions(BODY), 0);
});

scenario('a stream resumes after a link loss at the next byte it needs', async (entry, clock) => {
  const caller = await submit(entry, clock);
  const { target } = entry;
  entry.deliver();
  relaySteps(entry, 3);
  entry.sides.forEach((side) => side.step(entry.board.name));
  cutAndReopen(entry, target);
  entry.deliver();
  entry.finishAll();
  checkAnswered(caller);
  assert.is(entry.counts.get('request.retried stream-resumed'), 1);
});

scenario('a stream that cannot be resumed in time is aborted', async (entry, clock) => {
  const caller = await submit(entry, clock);
  const { target } = entry;
  entry.deliver();
  relaySteps(entry, 3);
  entry.cutLink(target);
  await clock.tickAsync(DEFAULT_TIMING.inquiryLimitMs);
  assert.equal(caller.ends, ['abort']);
});

scenario('a repeatable request without its link runs in another domain', async (entry, clock) => {
  const caller = await submit(entry, clock);
  const { target } = entry;
  entry.deliver();
  entry.cutLink(target);
  await clock.tickAsync(DEFAULT_TIMING.heartbeatMs);
  assert.is.not(entry.target, target);
  entry.deliver();
  entry.finishAll();
  checkAnswered(caller, 2);
});

scenario('a repeatable request runs elsewhere after a progress timeout', async (entry, clock) => {
  const caller = await submit(entry, clock);
  const { target } = entry;
  entry.deliver();
  await clock.tickAsync(4_000);
  assert.is.not(entry.target, target);
  entry.deliver();
  entry.finishAll();
  checkAnswered(caller, 2);
  assert.is(entry.counts.get('request.retried progress-timeout'), 1);
});

scenario('a non-repeatable request inquires after a progress timeout', async (entry, clock) => {
  const caller = await submit(entry, clock, SWAP);
  entry.deliver();
  await clock.tickAsync(4_000);
  entry.deliver();
  entry.finishAll();
  checkAnswered(caller);
  assert.is(entry.countExecutions(BODY), 1);
});

scenario('a lost data message is detected by its offset and resent', async (entry, clock) => {
  const caller = await submit(entry, clock);
  const { target } = entry;
  entry.deliver();
  relaySteps(entry, 2);
  entry.sides.get(target)?.step(entry.board.name);
  relaySteps(entry, 1);
  entry.deliver();
  entry.finishAll();
  checkAnswered(caller);
});

scenario('an answer without its last bytes is not completed', async (entry, clock) => {
  const caller = await submit(entry, clock);
  const { target } = entry;
  entry.deliver();
  const messages = entry.sides.get(target)?.finish(entry.board.name) ?? [];
  entry.receive(target, [...messages.slice(0, -2), ...messages.slice(-1)]);
  assert.equal(caller.ends, []);
  entry.deliver();
  entry.finishAll();
  checkAnswered(caller);
});

scenario('a not-run claim after part of an answer is not trusted', async (entry, clock) => {
  const caller = await submit(entry, clock, SWAP);
  const { target } = entry;
  entry.deliver();
  relaySteps(entry, 2);
  const attemptId = 'entry-1.i1.1.1';
  const reason = RefusalReason.UpstreamFull;
  entry.receive(target, [{ type: MessageType.Refused, attemptId, reason, retryAfterMs: 0 }]);
  assert.equal(caller.ends, []);
  cutAndReopen(entry, target);
  const state = AttemptState.Dead;
  entry.receive(target, [{ type: MessageType.InquiryAnswer, attemptId, state }]);
  assert.equal(caller.ends, ['abort']);
  assert.is(caller.refusal?.outcome, Outcome.Unknown);
});

scenario('duplicate messages do not duplicate bytes of the answer', async (entry, clock) => {
  const caller = await submit(entry, clock);
  const { target } = entry;
  entry.deliver();
  const messages = entry.sides.get(target)?.finish(entry.board.name) ?? [];
  entry.receive(
    target,
    messages.slice(0, -1).flatMap((message) => [message, message]),
  );
  entry.receive(target, messages.slice(-1));
  checkAnswered(caller);
});

scenario('the late answer of a replaced attempt is dropped', async (entry, clock) => {
  const caller = await submit(entry, clock);
  const { target } = entry;
  entry.deliver();
  const late = entry.sides.get(target)?.finish(entry.board.name) ?? [];
  await clock.tickAsync(4_000);
  entry.deliver();
  entry.receive(target, late);
  entry.finishAll();
  checkAnswered(caller, 2);
});

scenario('an answer that fails half-way is aborted as unknown', async (entry, clock) => {
  const caller = await submit(entry, clock);
  const { target } = entry;
  entry.deliver();
  relaySteps(entry, 3);
  const failure = { reason: RefusalReason.UpstreamFailed, retryAfterMs: 0 };
  const [attemptId = ''] = entry.sides.get(target)?.listRunning(entry.board.name) ?? [];
  const outcome = Outcome.NotRun as const;
  entry.receive(target, [{ type: MessageType.Failed, attemptId, outcome, ...failure }]);
  assert.equal(caller.ends, ['abort']);
  assert.is(caller.refusal?.outcome, Outcome.Unknown);
});

scenario('credit is withheld while the caller applies backpressure', async (entry, clock) => {
  const caller = await submit(entry, clock);
  const { target } = entry;
  entry.deliver();
  caller.isSlow = true;
  relaySteps(entry, 2);
  assert.equal(entry.takeOutbox(target), []);
  cutAndReopen(entry, target);
  const [inquiry] = entry.takeOutbox(target);
  assert.is(inquiry?.type === MessageType.Inquire && inquiry.creditBytes, 0);
  const attemptId = 'entry-1.i1.1.1';
  const state = AttemptState.Running;
  entry.receive(target, [{ type: MessageType.InquiryAnswer, attemptId, state }]);
  assert.equal(entry.takeOutbox(target), []);
  caller.drain();
  assert.is(entry.takeOutbox(target)[0]?.type, MessageType.Credit);
  entry.finishAll();
  checkAnswered(caller);
});

test.run();
