import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ClaimSweeper } from '../../src/claims/claimSweeper.js';
import { CLAIM_RETENTION_MS, CLAIM_PREFIX } from '../../src/claims/claimRecord.js';
import { Outcome, RefusalReason } from '../../src/model/reason.js';
import { EntryFixture } from '../entry/entryFixture.js';
import type { FakeCaller } from '../entry/fakeCaller.js';
import { FakeSide } from '../entry/fakeSide.js';
import { scenario, type TestClock } from '../entry/scenario.js';

const BODY = 'swap 7';
const SWAP = {
  path: '/v1/swaps/7',
  idempotencyKey: 'k7',
  body: new TextEncoder().encode(BODY),
};

/** Lets pending store calls complete and delivers the messages sent as a result, twice. */
async function settle(entry: EntryFixture, clock: TestClock): Promise<void> {
  await clock.tickAsync(1);
  entry.deliver();
  await clock.tickAsync(1);
  entry.deliver();
}

async function swap(entry: EntryFixture, clock: TestClock, changes = {}): Promise<FakeCaller> {
  const caller = entry.request({ ...SWAP, ...changes });
  await settle(entry, clock);
  return caller;
}

function createPeer(entry: EntryFixture): EntryFixture {
  return new EntryFixture('entry-2', entry.store, new Map(entry.sides));
}

function checkAnswered(caller: FakeCaller, attemptId = 'entry-1.i1.1.1'): void {
  assert.is(caller.text, FakeSide.answerOf(attemptId, BODY));
  assert.equal(caller.ends, ['end']);
}

/** Runs the remaining timers of a killed entry, whose messages are no longer delivered. */
async function runRemainingTimers(clock: TestClock): Promise<void> {
  await clock.tickAsync(30_000);
}

scenario('a repeated key is answered with the stored answer', async (entry, clock) => {
  const first = await swap(entry, clock);
  entry.finishAll();
  checkAnswered(first);
  await settle(entry, clock);
  const peer = createPeer(entry);
  checkAnswered(await swap(peer, clock));
  assert.is(entry.countExecutions(BODY), 1);
});

scenario('another entry returns the answer after the first was killed', async (entry, clock) => {
  await swap(entry, clock);
  entry.kill();
  const peer = createPeer(entry);
  const caller = await swap(peer, clock);
  peer.finishAll();
  checkAnswered(caller);
  assert.is(entry.countExecutions(BODY), 1);
  await runRemainingTimers(clock);
});

scenario('another entry takes over a claim whose request was never sent', async (entry, clock) => {
  entry.request(SWAP);
  await clock.tickAsync(1);
  const { target } = entry;
  const late = entry.takeOutbox(target);
  entry.kill();
  const peer = createPeer(entry);
  const caller = await swap(peer, clock);
  late.forEach((message) => entry.sides.get(target)?.receive(message, 'entry-1'));
  peer.finishAll();
  checkAnswered(caller, 'entry-2.i1.1.2');
  assert.is(entry.countExecutions(BODY), 1);
  await runRemainingTimers(clock);
});

scenario('concurrent requests with one key at two entries run once', async (entry, clock) => {
  const peer = createPeer(entry);
  const first = entry.request(SWAP);
  const second = peer.request(SWAP);
  await clock.tickAsync(1);
  peer.deliver();
  await settle(entry, clock);
  await settle(peer, clock);
  entry.finishAll();
  peer.finishAll();
  await runRemainingTimers(clock);
  assert.is(entry.countExecutions(BODY), 1);
  assert.ok([first, second].some((caller) => caller.ends[0] === 'end'));
  const refused = [first, second].filter((caller) => caller.refusal);
  refused.forEach((caller) => assert.is(caller.refusal?.outcome, Outcome.Unknown));
});

scenario('a key in flight at the same entry is refused as in use', async (entry, clock) => {
  const first = await swap(entry, clock);
  const second = await swap(entry, clock);
  entry.finishAll();
  checkAnswered(first);
  assert.is(second.refusal?.reason, RefusalReason.KeyInUse);
  assert.is(second.refusal?.outcome, Outcome.Unknown);
});

scenario('a different request under the same key is refused', async (entry, clock) => {
  await swap(entry, clock);
  entry.finishAll();
  const other = await swap(entry, clock, { body: new TextEncoder().encode('swap 8') });
  assert.is(other.refusal?.reason, RefusalReason.KeyReused);
  assert.is(entry.countExecutions('swap 8'), 0);
});

scenario('a request with a key is not sent while the platform is down', async (entry, clock) => {
  Object.assign(entry.store, { isDown: true });
  const caller = await swap(entry, clock);
  assert.is(caller.refusal?.reason, RefusalReason.PlatformUnavailable);
  assert.is(caller.refusal?.outcome, Outcome.NotRun);
  assert.ok(caller.refusal && caller.refusal.retryAfterMs > 0);
  assert.is(entry.countExecutions(BODY), 0);
});

scenario('a claim is read back if the response to its write was lost', async (entry, clock) => {
  Object.assign(entry.store, { lostAnswers: 1 });
  const caller = await swap(entry, clock);
  entry.finishAll();
  checkAnswered(caller);
  assert.is(entry.countExecutions(BODY), 1);
});

scenario('the answer is stored for a caller that disconnected', async (entry, clock) => {
  const first = await swap(entry, clock);
  first.hangUp();
  entry.finishAll();
  assert.equal(first.ends, []);
  await settle(entry, clock);
  checkAnswered(await swap(createPeer(entry), clock));
  assert.is(entry.countExecutions(BODY), 1);
});

scenario('a request refused as not run releases its claim', async (entry, clock) => {
  entry.sides.forEach((side) => Object.assign(side, { gateReason: RefusalReason.UpstreamFull }));
  const caller = entry.request({ ...SWAP, deadlineMs: 30 });
  await settle(entry, clock);
  await clock.tickAsync(30);
  assert.is(caller.refusal?.outcome, Outcome.NotRun);
  assert.is(entry.store.objects.size, 0);
});

scenario('a claim is updated before the request is retried', async (entry, clock) => {
  const caller = entry.request(SWAP);
  await clock.tickAsync(1);
  const { target } = entry;
  Object.assign(entry.sides.get(target) ?? {}, { gateReason: RefusalReason.UpstreamFull });
  await settle(entry, clock);
  const [claim] = [...entry.store.objects.values()];
  assert.is((claim?.value as { attemptId: string }).attemptId, 'entry-1.i1.1.2');
  entry.finishAll();
  checkAnswered(caller, 'entry-1.i1.1.2');
});

scenario('claims are swept after their retention time', async (entry, clock) => {
  await swap(entry, clock);
  entry.finishAll();
  await settle(entry, clock);
  const sweeper = new ClaimSweeper(entry.store);
  const sweepAll = async (nowMs: number, part = 0): Promise<void> => {
    if (part === 256) return;
    await sweeper.sweepNext(nowMs);
    await sweepAll(nowMs, part + 1);
  };
  await sweepAll(CLAIM_RETENTION_MS);
  assert.is((await entry.store.list(CLAIM_PREFIX)).unwrap().objects.length, 1);
  await sweepAll(Date.now() + CLAIM_RETENTION_MS + 1);
  assert.is(entry.store.objects.size, 0);
});

test.run();
