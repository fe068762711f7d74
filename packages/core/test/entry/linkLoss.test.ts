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

/** Sends one request up to its submission on the link. */
async function submit(entry: EntryFixture, clock: TestClock, changes = {}): Promise<FakeCaller> {
  const caller = entry.request(changes);
  await clock.tickAsync(0);
  return caller;
}

/** Hands on the first steps of the running answers. */
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

scenario(
  'a running request is found again on a new link and answered once',
  async (entry, clock) => {
    const caller = await submit(entry, clock, SWAP);
    const { target } = entry;
    entry.deliver();
    cutAndReopen(entry, target);
    entry.deliver();
    entry.finishAll();
    checkAnswered(caller);
    assert.is(entry.countExecutions(BODY), 1);
  },
);

scenario(
  'a submission lost with its link is proved not run and runs once',
  async (entry, clock) => {
    const caller = await submit(entry, clock, SWAP);
    cutAndReopen(entry, entry.target);
    entry.deliver();
    entry.finishAll();
    checkAnswered(caller, 2);
    assert.is(entry.countExecutions(BODY), 1);
    assert.is(entry.counts.get('request.retried link-lost-not-run'), 1);
  },
);

scenario('a lost request that may have run is refused as unknown', async (entry, clock) => {
  const caller = await submit(entry, clock, SWAP);
  const { target } = entry;
  entry.deliver();
  entry.cutLink(target);
  await clock.tickAsync(DEFAULT_TIMING.inquiryLimitMs);
  assert.is(caller.refusal?.outcome, Outcome.Unknown);
  assert.is(entry.countExecutions(BODY), 1);
});

scenario('a request lost with its side process is not run again', async (entry, clock) => {
  const caller = await submit(entry, clock, SWAP);
  const { target } = entry;
  entry.deliver();
  entry.sides.get(target)?.restart();
  cutAndReopen(entry, target);
  entry.deliver();
  assert.is(caller.refusal?.outcome, Outcome.Unknown);
  assert.is(entry.countExecutions(BODY), 1);
});

scenario(
  'an attempt that could have been forgotten is not called not run',
  async (entry, clock) => {
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
  },
);

scenario('a cut stream goes on at the byte that the caller needs', async (entry, clock) => {
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

scenario('a cut stream that is not found again is broken off', async (entry, clock) => {
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

scenario('a silent upstream is given up for another one in time', async (entry, clock) => {
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

scenario('a silent request that may not be repeated is asked for', async (entry, clock) => {
  const caller = await submit(entry, clock, SWAP);
  entry.deliver();
  await clock.tickAsync(4_000);
  entry.deliver();
  entry.finishAll();
  checkAnswered(caller);
  assert.is(entry.countExecutions(BODY), 1);
});

scenario('a lost message is noticed by its offset and asked for', async (entry, clock) => {
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

scenario('an answer without its last bytes is not passed off as whole', async (entry, clock) => {
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

scenario('a side process that contradicts its own answer proves nothing', async (entry, clock) => {
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

scenario('a repeated message gives the caller no byte twice', async (entry, clock) => {
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

scenario('an answer to another attempt goes to nobody', async (entry, clock) => {
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

scenario('an answer that fails half-way is broken off', async (entry, clock) => {
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

scenario('a slow caller holds back the credit', async (entry, clock) => {
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
