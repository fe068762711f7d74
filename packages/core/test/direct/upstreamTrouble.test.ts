/**
 * Tests of faulty upstreams: endless data, dripping responses, announced leaving and requested
 * backoff.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { LeavingSource } from '../../src/direct/fleetBoard.js';
import { formatIncarnation } from '../../src/direct/incarnation.js';
import { Outcome, RefusalReason } from '../../src/model/reason.js';

import type { FakeCaller } from '../entry/fakeCaller.js';

import { DirectFixture, withClock } from './directFixture.js';
import { NOT_RUN_HEAD } from './fakeCall.js';

/** Part of a caller's patience after which a slow but healthy stream has its next event. */
const SLOW_FRACTION = 0.9;

const PATIENCE_MS = 2_000;

test('a stream with an endless event is resumed at another upstream after its last complete event', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 2);
    const caller = entry.sendRequest('stream');
    const endless = entry.lastCall.head().sendEvents(1);
    for (let sent = 0; sent < 300; sent += 1) endless.send('x'.repeat(1_024));
    assert.ok(endless.isCancelled, 'its connection is closed');
    assert.is(entry.lastCall.call.resumeAfterId, '1');
    entry.lastCall.head().sendEvents(2).end();
    assert.equal(caller.ends, ['end']);
    assert.is(entry.metrics.readCount('upstream.endless'), 1);
    const { ejection } = entry.board.findUpstream(endless.call.upstream.id) ?? {};
    assert.ok(ejection?.isEjected(performance.now()));
  }));

test('bytes that never complete an event are not progress', () =>
  withClock(async (clock) => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 3);
    entry.sendRequest('stream');
    const dripping = entry.lastCall.head();
    entry.sendRequest('stream');
    const other = entry.lastCall.head();
    for (let id = 1; id <= 12; id += 1) {
      dripping.send('x');
      other.sendEvents(id);
      // eslint-disable-next-line no-await-in-loop -- the clock advances step by step
      await clock.tickAsync(100);
    }
    assert.ok(dripping.isCancelled);
    assert.is(entry.calls.length, 3);
  }));

test('a dripping stream without a replacement ends when its caller would give up', () =>
  withClock(async (clock) => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 1);
    const caller = entry.sendRequest('stream');
    entry.lastCall.head();
    for (let spentMs = 0; spentMs < PATIENCE_MS + 100; spentMs += 100) {
      entry.lastCall.send('x');
      // eslint-disable-next-line no-await-in-loop -- the clock advances step by step
      await clock.tickAsync(100);
    }
    assert.is(caller.refusal?.reason, RefusalReason.UpstreamSilent);
    assert.ok(entry.lastCall.isCancelled);
  }));

test('slow but healthy streams are not moved while their pool produces output', () =>
  withClock(async (clock) => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 3);
    const streams = 12;
    const callers: FakeCaller[] = [];
    for (let turn = 0; turn < streams * 4; turn += 1) {
      if (turn < streams) {
        callers.push(entry.sendRequest('stream'));
        entry.lastCall.head();
      }
      entry.calls[turn % streams]?.sendEvents(1 + Math.floor(turn / streams));
      // eslint-disable-next-line no-await-in-loop -- the clock advances step by step
      await clock.tickAsync((PATIENCE_MS * SLOW_FRACTION) / streams);
    }
    assert.is(entry.calls.length, streams, 'no stream was moved');
    assert.ok(callers.every(({ ends }) => ends.length === 0));
  }));

test('a silent upstream is kept until another one can replace it', () =>
  withClock(async (clock) => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 1);
    entry.sendRequest('stream');
    const silent = entry.lastCall;
    entry.sendRequest('stream');
    const other = entry.lastCall.head();
    for (let id = 1; id <= 15; id += 1) {
      other.sendEvents(id);
      // eslint-disable-next-line no-await-in-loop -- the clock advances step by step
      await clock.tickAsync(100);
    }
    assert.not.ok(silent.isCancelled);
    silent.head().sendEvents(1);
    assert.is(entry.calls.length, 2);
  }));

test('a dripping plain response is replaced, and one that makes progress is not', () =>
  withClock(async (clock) => {
    const entry = new DirectFixture();
    entry.addUpstreams('exchange', 3);
    entry.sendRequest('catalogue');
    const dripping = entry.lastCall.head();
    entry.sendRequest('catalogue');
    const flowing = entry.lastCall.head();
    for (let at = 0; at < 10; at += 1) {
      dripping.send('x');
      flowing.send('x'.repeat(2_048));
      // Other output of the pool shows that the pool as a whole is responsive.
      entry.sendRequest('catalogue');
      entry.lastCall.head().send('whole').end();
      // eslint-disable-next-line no-await-in-loop -- the clock advances step by step
      await clock.tickAsync(50);
    }
    assert.ok(dripping.isCancelled);
    assert.not.ok(flowing.isCancelled);
  }));

test('an upstream that reports in a response that it is leaving receives no more requests', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 2);
    entry.sendRequest('stream');
    const leaving = entry.lastCall.call.upstream;
    entry.lastCall.head({ isLeaving: true }).sendEvents(1);
    Array.from({ length: 10 }, () => entry.sendRequest('stream'));
    const later = entry.calls.slice(1).map(({ call }) => call.upstream.id);
    assert.not(later.includes(leaving.id));
    entry.registry.put(leaving);
    entry.sendRequest('stream');
    assert.is.not(entry.lastCall.call.upstream.id, leaving.id, 'regardless of the registry');
    entry.registry.put({ ...leaving, startedAtUnixMs: 2 });
    Array.from({ length: 12 }, () => {
      entry.sendRequest('stream');
      return entry.lastCall.head().sendEvents(1);
    });
    const last = entry.calls.map(({ call }) => call.upstream);
    assert.ok(last.some(({ id, startedAtUnixMs }) => id === leaving.id && startedAtUnixMs === 2));
  }));

test('a refusal can report leaving as well, a misdirected one of another upstream cannot', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('exchange', 3);
    entry.sendRequest('swap');
    const [first] = entry.calls;
    first?.head({ ...NOT_RUN_HEAD, isLeaving: true });
    const second = entry.lastCall;
    second.head({ ...NOT_RUN_HEAD, status: 421, isMisdirected: true, isLeaving: true });
    const isLeaving = (id = '') => entry.board.findUpstream(id)?.isLeaving;
    assert.is(isLeaving(first?.call.upstream.id), true);
    assert.is(isLeaving(second.call.upstream.id), false);
  }));

test('an incarnation that a peer reports as leaving receives no requests, even if registered later', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 1);
    const [known] = entry.board.upstreams;
    if (!known) throw new Error('no upstream');
    const later = { ...known.entry, id: 'models-9' };
    entry.board.noteLeavingIncarnation(formatIncarnation(later), LeavingSource.Peer);
    entry.registry.put(later);
    entry.board.noteLeavingIncarnation(formatIncarnation(known.entry), LeavingSource.Peer);
    const caller = entry.sendRequest('stream');
    assert.is(entry.calls.length, 0);
    assert.is(caller.refusal?.reason, RefusalReason.NoUpstream);
  }));

test('an upstream backs off for as long as it asks for, and no longer', () =>
  withClock(async (clock) => {
    const entry = new DirectFixture();
    entry.addUpstreams('exchange', 2);
    entry.sendRequest('swap');
    const { id } = entry.lastCall.call.upstream;
    entry.lastCall.head({ ...NOT_RUN_HEAD, backoffMs: 2_500 });
    entry.lastCall.send('done').end();
    const countSends = () => entry.calls.filter(({ call }) => call.upstream.id === id).length;
    for (let spentMs = 0; spentMs < 2_400; spentMs += 100) {
      entry.sendRequest('swap');
      entry.lastCall.head().send('done').end();
      // eslint-disable-next-line no-await-in-loop -- the clock advances step by step
      await clock.tickAsync(100);
    }
    assert.is(countSends(), 1);
    await clock.tickAsync(200);
    Array.from({ length: 6 }, () => entry.sendRequest('swap'));
    assert.ok(countSends() > 1);
  }));

test('while all upstreams back off, requests are refused at once with a Retry-After delay', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('exchange', 2);
    entry.sendRequest('swap');
    entry.lastCall.head({ ...NOT_RUN_HEAD, backoffMs: 2_000 });
    entry.lastCall.head({ ...NOT_RUN_HEAD, backoffMs: 1_500 });
    const caller = entry.sendRequest('swap');
    assert.is(entry.calls.length, 2);
    assert.is(caller.refusal?.reason, RefusalReason.UpstreamFull);
    assert.is(caller.refusal?.outcome, Outcome.NotRun);
    assert.ok((caller.refusal?.retryAfterMs ?? 0) >= 1_500);
  }));

test('a restarted upstream does not inherit the backoff of its last incarnation', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('exchange', 1);
    entry.sendRequest('swap');
    const { upstream } = entry.lastCall.call;
    entry.lastCall.head({ ...NOT_RUN_HEAD, backoffMs: 60_000 });
    entry.registry.put({ ...upstream, startedAtUnixMs: 2 });
    entry.sendRequest('swap');
    assert.is(entry.calls.length, 2);
  }));

test('an admission after the deadline, as in a suspended process, is not used', () =>
  withClock((clock) => {
    const entry = new DirectFixture();
    entry.addUpstreams('exchange', 1, 1);
    entry.sendRequest('swap');
    const first = entry.lastCall;
    const caller = entry.sendRequest('swap', { deadlineMs: 1_000 });
    // Lets time pass without running timers, as in a suspended process.
    clock.setSystemTime();
    const jumped = performance.now;
    performance.now = () => jumped.call(performance) + 5_000;
    first.head().send('done').end();
    performance.now = jumped;
    assert.is(entry.calls.length, 1);
    assert.is(caller.refusal?.outcome, Outcome.NotRun);
  }));

test.run();
