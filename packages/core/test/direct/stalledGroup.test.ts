/** Tests what happens to requests whose group of engines has lost a rank. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { BreakerChangeSource } from '../../src/direct/poolBreaker.js';
import { Outcome, RefusalReason } from '../../src/model/reason.js';

import type { FakeCaller } from '../entry/fakeCaller.js';

import { DEADLINE_MS, DirectFixture, withClock, type TestClock } from './directFixture.js';
import { NOT_RUN_HEAD } from './fakeCall.js';

/** Duration of the outage; callers disconnect after two seconds of silence. */
const OUTAGE_MS = 1_200;

const PATIENCE_MS = 2_000;

/** Time in which an entry detects that a whole group is stalled. */
const DETECTION_MS = 300;

/** Interval between two new requests that probe a stalled pool. */
const PROBE_INTERVAL_MS = 250;

const STEP_MS = 20;

/** Declines what the entry sends, for the given time. */
async function declineAll(entry: DirectFixture, clock: TestClock, spanMs: number): Promise<void> {
  for (let passedMs = 0; passedMs < spanMs; passedMs += STEP_MS) {
    while (entry.calls.some(({ isOpen }) => isOpen)) {
      entry.calls.find(({ isOpen }) => isOpen)?.head(NOT_RUN_HEAD);
    }
    // eslint-disable-next-line no-await-in-loop -- the clock advances step by step
    await clock.tickAsync(STEP_MS);
  }
}

/** Breaks off all streams; engines decline requests from then on. */
async function loseRank(entry: DirectFixture, clock: TestClock): Promise<void> {
  entry.calls.filter(({ isOpen }) => isOpen).forEach((call) => call.fail());
  await declineAll(entry, clock, DETECTION_MS);
}

/** Lets a new request through whose first event shows that the group is back. */
async function restoreGroup(entry: DirectFixture, clock: TestClock): Promise<void> {
  await clock.tickAsync(PROBE_INTERVAL_MS);
  entry.sendRequest('stream');
  entry.lastCall.head().sendEvents(1);
}

/** Starts a stream whose caller has received one event when its group loses a rank. */
async function interruptStream(
  clock: TestClock,
): Promise<{ entry: DirectFixture; caller: FakeCaller }> {
  const entry = new DirectFixture();
  entry.addUpstreams('models', 3);
  const caller = entry.sendRequest('stream');
  entry.lastCall.head().sendEvents(1);
  await loseRank(entry, clock);
  return { entry, caller };
}

function listEvents(last: number): string {
  return Array.from({ length: last }, (_, at) => `id: ${at + 1}\ndata: note\n\n`).join('');
}

test('a stream whose group has lost a rank is resumed when the group is back', () =>
  withClock(async (clock) => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 3);
    const caller = entry.sendRequest('stream');
    entry.lastCall.head().sendEvents(1, 2);
    await loseRank(entry, clock);
    await declineAll(entry, clock, OUTAGE_MS);
    assert.equal(caller.ends, [], 'the caller stays connected');
    await restoreGroup(entry, clock);
    await clock.tickAsync(50);
    assert.is(entry.lastCall.call.resumeAfterId, '2');
    entry.lastCall.head().sendEvents(3, 4).end();
    assert.is(caller.text, listEvents(4));
    assert.equal(caller.ends, ['end']);
  }));

test('all of many interrupted streams are resumed when the group is back', () =>
  withClock(async (clock) => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 12);
    const callers = Array.from({ length: 20 }, () => {
      const caller = entry.sendRequest('stream');
      entry.lastCall.head().sendEvents(1);
      return caller;
    });
    await loseRank(entry, clock);
    await declineAll(entry, clock, OUTAGE_MS);
    await restoreGroup(entry, clock);
    for (let passedMs = 0; passedMs < 400; passedMs += STEP_MS) {
      entry.calls.filter(({ isOpen }) => isOpen).forEach((call) => call.head().sendEvents(2));
      // eslint-disable-next-line no-await-in-loop -- the clock advances step by step
      await clock.tickAsync(STEP_MS);
    }
    assert.is(callers.filter(({ ends }) => ends.length > 0).length, 0, 'no stream is aborted');
    const served = callers.filter(({ text }) => text.startsWith(listEvents(2)));
    assert.is(served.length, callers.length);
  }));

test('an interrupted stream is aborted before its caller would disconnect', () =>
  withClock(async (clock) => {
    const { entry, caller } = await interruptStream(clock);
    await declineAll(entry, clock, PATIENCE_MS - DETECTION_MS);
    assert.equal(caller.ends, ['abort'], 'its caller can retry while it still has time');
  }));

test('an interrupted stream whose caller disconnects is not sent again', () =>
  withClock(async (clock) => {
    const { entry, caller } = await interruptStream(clock);
    caller.hangUp();
    await clock.tickAsync(OUTAGE_MS);
    await restoreGroup(entry, clock);
    await clock.tickAsync(100);
    assert.is(entry.lastCall.call.resumeAfterId, undefined);
  }));

test('a group that stays unavailable is probed by few of the streams queued for it', () =>
  withClock(async (clock) => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 6);
    Array.from({ length: 6 }, () => {
      entry.sendRequest('stream');
      return entry.lastCall.head().sendEvents(1);
    });
    await loseRank(entry, clock);
    const before = entry.calls.length;
    await declineAll(entry, clock, OUTAGE_MS);
    const asked = entry.calls.length - before;
    assert.ok(asked <= 3, `${asked} attempts`);
  }));

test('a stream that has not run is refused with a Retry-After delay instead of queued', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 3);
    const caller = entry.sendRequest('stream');
    while (entry.lastCall.isOpen) entry.lastCall.head(NOT_RUN_HEAD);
    assert.ok((caller.refusal?.retryAfterMs ?? 0) > 0);
  }));

/** Sends a stream request as a caller that has been refused before. */
function sendRetry(entry: DirectFixture, deadlineMs: number): FakeCaller {
  return entry.sendRequest('stream', { deadlineMs });
}

test('the retry of a caller is queued while the group is still unavailable', () =>
  withClock(async (clock) => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 3);
    entry.sendRequest('stream');
    await loseRank(entry, clock);
    const caller = sendRetry(entry, DEADLINE_MS - 2_500);
    await declineAll(entry, clock, OUTAGE_MS);
    assert.equal(caller.ends, [], 'it has no time for another retry');
    await restoreGroup(entry, clock);
    await clock.tickAsync(200);
    entry.lastCall.head().sendEvents(1).end();
    assert.equal(caller.ends, ['end']);
  }));

test('the retry of a caller with too little time for a response is refused at once', () =>
  withClock(async (clock) => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 3);
    entry.sendRequest('stream');
    entry.lastCall.head().sendEvents(1);
    await clock.tickAsync(1_900);
    entry.lastCall.end();
    entry.sendRequest('stream');
    await loseRank(entry, clock);
    const caller = sendRetry(entry, 1_900);
    assert.is(caller.refusal?.outcome, Outcome.NotRun);
  }));

test('queued requests are sent once a peer reports that the group is back', () =>
  withClock(async (clock) => {
    const { entry } = await interruptStream(clock);
    await clock.tickAsync(PROBE_INTERVAL_MS);
    const before = entry.calls.length;
    entry.board.getBreaker('models').noteSuccess(BreakerChangeSource.Peer);
    assert.is(entry.calls.length, before + 1);
  }));

test('a first attempt is refused at once with a Retry-After delay', () =>
  withClock(async (clock) => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 3);
    entry.sendRequest('stream');
    await loseRank(entry, clock);
    entry.sendRequest('stream');
    const caller = entry.sendRequest('stream');
    assert.is(caller.refusal?.reason, RefusalReason.PoolStalled);
    assert.ok((caller.refusal?.retryAfterMs ?? 0) > 1_000);
  }));

test.run();
