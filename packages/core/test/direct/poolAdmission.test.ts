import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { RefusalReason } from '../../src/model/reason.js';
import type { FakeCaller } from '../entry/fakeCaller.js';

import { DEADLINE_MS, DirectFixture, withClock } from './directFixture.js';
import { NOT_RUN_HEAD } from './fakeCall.js';

/** Slots of one engine, all of which are used initially. */
const SLOTS = 8;

/** Starts a stream whose prefill completes at once. */
function startStream(entry: DirectFixture): void {
  entry.sendRequest('stream');
  entry.lastCall.head().sendEvents(1);
}

function fillSlots(entry: DirectFixture, upstreams: number): void {
  Array.from({ length: SLOTS * upstreams }, () => startStream(entry));
}

test('requests are spread evenly over the engines', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 4);
    Array.from({ length: 12 }, () => startStream(entry));
    assert.equal(
      entry.board.upstreams.map(({ inFlight }) => inFlight),
      [3, 3, 3, 3],
    );
  }));

test('a request that cannot be on time is refused at once with a Retry-After delay', () =>
  withClock(async (clock) => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 1);
    fillSlots(entry, 1);
    const callers = Array.from({ length: 10 }, () => entry.sendRequest('stream'));
    const refused = callers.filter(({ refusal }) => refusal);
    assert.ok(refused.length >= 7, `${refused.length} of 10 are refused at once`);
    await clock.tickAsync(400);
    assert.ok(callers.every(({ refusal }) => refusal?.reason === RefusalReason.QueueFull));
    const times = new Set(callers.map(({ refusal }) => refusal?.retryAfterMs));
    assert.ok(times.size > 5, 'Retry-After delays are spread');
  }));

test('a queued request is sent as soon as a slot is free', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 1);
    fillSlots(entry, 1);
    entry.sendRequest('stream');
    assert.is(entry.calls.length, SLOTS);
    entry.calls[0]?.head().sendEvents(1).end();
    assert.is(entry.calls.length, SLOTS + 1);
  }));

test('a queue is checked once per interval, however many slots were freed before', () =>
  withClock(async (clock) => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 1);
    fillSlots(entry, 1);
    Array.from({ length: 10 }, () => entry.sendRequest('stream'));
    entry.calls.slice(0, 2).forEach((call) => call.end());
    assert.is(entry.calls.length, SLOTS + 2, 'two of the queued requests are sent');
    const breaker = entry.board.getBreaker('models');
    let checks = 0;
    breaker.tryPass = () => {
      checks += 1;
      return false;
    };
    await clock.tickAsync(100);
    assert.is(checks, 5);
  }));

test('a pool that was idle for a long time does not count as slow', () =>
  withClock(async (clock) => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 1);
    fillSlots(entry, 1);
    await clock.tickAsync(500);
    entry.calls.forEach((call) => call.end());
    await clock.tickAsync(20_000);
    startStream(entry);
    entry.lastCall.end();
    fillSlots(entry, 1);
    const caller = entry.sendRequest('stream');
    assert.is(
      caller.refusal,
      undefined,
      'with streams of 500 ms in 8 slots it is admitted in time',
    );
  }));

test('the number of concurrent prefills is limited when many callers arrive at once', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.board.entryCount = 3;
    entry.addUpstreams('models', 12);
    Array.from({ length: 60 }, () => entry.sendRequest('stream'));
    // Three at each of twelve engines, shared by three entries.
    assert.is(entry.calls.length, 12);
    entry.calls[0]?.head().sendEvents(1);
    assert.is(entry.calls.length, 13);
  }));

test('after a restart as many requests may queue as can be prefilled in time', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.board.entryCount = 3;
    entry.addUpstreams('models', 12);
    const callers = Array.from({ length: 30 }, () => entry.sendRequest('stream'));
    // Twelve prefills run at a time, each of 80 ms, the initial assumption.
    assert.is(callers.filter(({ refusal }) => refusal).length, 0);
    while (entry.calls.some(({ isOpen }) => isOpen)) {
      entry.calls
        .find(({ isOpen }) => isOpen)
        ?.head()
        .sendEvents(1)
        .end();
    }
    assert.ok(callers.every(({ ends }) => ends[0] === 'end'));
  }));

test('a late request is queued behind one that can be on time', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 1);
    fillSlots(entry, 1);
    const late = entry.sendRequest('stream', { deadlineMs: DEADLINE_MS - 1_500 });
    const fresh = entry.sendRequest('stream');
    entry.calls[0]?.head().sendEvents(1).end();
    entry.lastCall.head().sendEvents(1);
    assert.ok(fresh.text.length > 0);
    assert.is(late.text, '');
    entry.calls[1]?.head().sendEvents(1).end();
    assert.is(entry.calls.length, SLOTS + 2);
  }));

test('starts at one upstream stay within the share of the limit for a cold one', () =>
  withClock(async (clock) => {
    const entry = new DirectFixture();
    entry.board.entryCount = 4;
    entry.addUpstreams('models', 1, 1_000);
    let most = 0;
    const startsAtMs: number[] = [];
    for (let round = 0; round < 300; round += 1) {
      const before = entry.calls.length;
      entry.sendRequest('stream');
      entry.calls.slice(before).forEach((call) => call.head().sendEvents(1).end());
      entry.calls.slice(before).forEach(() => startsAtMs.push(performance.now()));
      // eslint-disable-next-line no-await-in-loop -- the clock advances step by step
      await clock.tickAsync(10);
      const recent = startsAtMs.filter((atMs) => atMs > performance.now() - 1_000);
      most = Math.max(most, recent.length);
    }
    // 26 per second times 1.5, plus 5: all four entries together stay below 44.
    assert.ok(most * 4 <= 44, `${most} starts in a second from one of four entries`);
    assert.ok(most >= 5);
  }));

test('a stalled group is probed by single requests', () =>
  withClock(async (clock) => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 6);
    entry.sendRequest('stream');
    while (entry.calls.some(({ isCancelled }) => !isCancelled)) {
      entry.calls.find(({ isCancelled }) => !isCancelled)?.head(NOT_RUN_HEAD);
    }
    const before = entry.calls.length;
    const callers = Array.from({ length: 20 }, () => entry.sendRequest('stream'));
    assert.ok(entry.calls.length - before <= 1, 'one probe at most');
    const stalled = callers.filter(({ refusal }) => refusal?.reason === RefusalReason.PoolStalled);
    assert.ok(stalled.length >= 19);
    await clock.tickAsync(300);
    entry.sendRequest('stream');
    entry.lastCall.head().sendEvents(1);
    const after = entry.calls.length;
    Array.from({ length: 5 }, () => entry.sendRequest('stream'));
    assert.is(entry.calls.length, after + 5, 'the breaker closes with the first event');
  }));

/** Sends a stream request as a caller that has been refused before. */
function sendRetry(entry: DirectFixture): FakeCaller {
  return entry.sendRequest('stream', { deadlineMs: DEADLINE_MS - 2_500 });
}

test('the retry of a caller leaves the last slots to requests that can be on time', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 4);
    fillSlots(entry, 4);
    // One of 32 slots is free, and an eighth of them is reserved.
    entry.calls[0]?.end();
    sendRetry(entry);
    assert.is(entry.calls.length, SLOTS * 4);
    startStream(entry);
    assert.is(entry.calls.length, SLOTS * 4 + 1);
  }));

test('the retry of a caller is admitted if more slots are free', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 4);
    fillSlots(entry, 4);
    entry.calls.slice(0, 4).forEach((call) => call.end());
    sendRetry(entry);
    assert.is(entry.calls.length, SLOTS * 4 + 1);
  }));

test('upstreams that are leaving or in a closed failure domain receive no requests', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 3);
    const leaving = entry.board.upstreams[0]?.entry;
    if (leaving) entry.registry.put({ ...leaving, isLeaving: true });
    entry.board.closeDomains(new Set(['zone-b']));
    Array.from({ length: 4 }, () => entry.sendRequest('stream'));
    assert.equal([...new Set(entry.calls.map(({ call }) => call.upstream.id))], ['models-2']);
  }));

test('an upstream that keeps failing is ejected while there are others', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('exchange', 3);
    for (let round = 0; round < 12; round += 1) {
      entry.sendRequest('swap');
      const call = entry.lastCall;
      if (call.call.upstream.id === 'exchange-0') call.fail();
      else call.head().send('ok').end();
    }
    const failed = entry.calls.filter(({ call }) => call.upstream.id === 'exchange-0').length;
    assert.is(failed, 2);
  }));

test.run();
