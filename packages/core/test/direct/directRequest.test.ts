import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { Outcome, RefusalReason } from '../../src/model/reason.js';
import { CallFailureKind } from '../../src/ports/upstreamCaller.js';

import { DirectFixture, withClock } from './directFixture.js';
import { HEAD, NOT_RUN_HEAD } from './fakeCall.js';
import { InMemoryBody } from './inMemoryBody.js';

test('a plain response reaches the caller complete, with its content length', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('exchange', 2);
    const caller = entry.sendRequest('swap');
    entry.lastCall.head().send('con').send('firmed').end();
    assert.is(caller.status, 200);
    assert.is(caller.text, 'confirmed');
    assert.equal(caller.ends, ['end']);
  }));

test('a request whose response ends it for lack of memory ends once', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('exchange', 2);
    let reject: (reason: RefusalReason) => void = () => {};
    const body = Object.assign(new InMemoryBody(Buffer.from('{}')), {
      onRejected: (listener: typeof reject) => {
        reject = listener;
      },
    });
    const caller = entry.sendRequest('swap', { body });
    caller.writeData = () => {
      reject(RefusalReason.MemoryShort);
      return false;
    };
    entry.lastCall.head().send('confirmed').end();
    assert.equal(caller.ends, ['abort']);
    assert.is(caller.refusal?.outcome, Outcome.Unknown);
  }));

test('a run-once request is not sent again after its connection broke', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('exchange', 3);
    const caller = entry.sendRequest('swap');
    entry.lastCall.fail(CallFailureKind.Lost);
    assert.is(entry.calls.length, 1);
    assert.is(caller.refusal?.outcome, Outcome.Unknown);
  }));

test('a run-once request is retried at another upstream if no byte of it was sent', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('exchange', 3);
    entry.sendRequest('swap');
    entry.lastCall.fail(CallFailureKind.NotSent);
    assert.is(entry.calls.length, 2);
    assert.is.not(entry.calls[0]?.call.upstream.id, entry.calls[1]?.call.upstream.id);
  }));

test('a request that every upstream declined is refused as not run, with a Retry-After delay', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('exchange', 2);
    const caller = entry.sendRequest('swap');
    entry.lastCall.head(NOT_RUN_HEAD);
    entry.lastCall.head(NOT_RUN_HEAD);
    assert.is(caller.refusal?.outcome, Outcome.NotRun);
    assert.ok((caller.refusal?.retryAfterMs ?? 0) > 0);
  }));

/** Guards against a caller that sends again what has run: the statuses promise that it has not. */
[408, 421, 429, 503].forEach((status) => {
  test(`a ${status} that does not state "not run" is not forwarded to a run-once request`, () =>
    withClock(() => {
      const entry = new DirectFixture();
      entry.addUpstreams('exchange', 3);
      const caller = entry.sendRequest('swap');
      entry.lastCall
        .head({ status, isMisdirected: status === 421 })
        .send('done')
        .end();
      assert.is(entry.calls.length, 1);
      assert.is(caller.status, 0);
      assert.is(caller.refusal?.outcome, Outcome.Unknown);
      assert.is(caller.refusal?.reason, RefusalReason.UpstreamFailed);
      assert.ok(entry.calls[0]?.isCancelled);
    }));
});

test('a 503 after a connection that was never made is not forwarded to a run-once request', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('exchange', 3);
    const caller = entry.sendRequest('swap');
    entry.lastCall.fail(CallFailureKind.NotSent);
    entry.lastCall.head({ status: 503 }).send('done').end();
    assert.is(caller.status, 0);
    assert.is(caller.refusal?.outcome, Outcome.Unknown);
  }));

test('a request that may run again is retried after a 421 that does not state "not run"', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('exchange', 3);
    const caller = entry.sendRequest('catalogue');
    entry.lastCall.head({ status: 421, isMisdirected: true });
    entry.lastCall.head().send('scores').end();
    assert.is(caller.text, 'scores');
  }));

test('a request that may have run anywhere is never refused as not run', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('exchange', 3);
    const caller = entry.sendRequest('catalogue');
    entry.lastCall.fail(CallFailureKind.Lost);
    entry.lastCall.head(NOT_RUN_HEAD);
    while (caller.ends.length === 0) entry.lastCall.head(NOT_RUN_HEAD);
    assert.is(caller.refusal?.outcome, Outcome.Unknown);
  }));

test('a response to another request is not forwarded', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('exchange', 1);
    const caller = entry.sendRequest('swap');
    entry.lastCall.head({ isForThisRequest: false });
    assert.is(caller.status, 0);
    assert.is(caller.refusal?.outcome, Outcome.Unknown);
    assert.ok(entry.lastCall.isCancelled);
  }));

test('a success that is not from the upstream itself is not forwarded', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('exchange', 1);
    const caller = entry.sendRequest('swap');
    entry.lastCall.head({ isGenuine: false });
    assert.is(caller.status, 0);
  }));

test('a repeatable request is retried at another upstream after a server error', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('exchange', 3);
    const caller = entry.sendRequest('catalogue');
    entry.lastCall.head({ status: 500 });
    assert.is(entry.calls.length, 2);
    entry.lastCall.head().send('scores').end();
    assert.is(caller.text, 'scores');
  }));

test('the server error of the last attempt is forwarded unchanged', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('exchange', 3);
    const caller = entry.sendRequest('catalogue');
    entry.lastCall.head({ status: 500 });
    entry.lastCall.head({ status: 500 }).send('no').end();
    assert.is(entry.calls.length, 2);
    assert.is(caller.status, 500);
    assert.equal(caller.ends, ['end']);
  }));

test('a stream that breaks off is resumed at another upstream after the last complete event', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 3);
    const caller = entry.sendRequest('stream');
    entry.lastCall.head({ headers: { seal: 'first' } }).sendEvents(1, 2);
    entry.lastCall.send('id: 3\ndata: no');
    entry.lastCall.fail();
    assert.is(entry.calls.length, 2);
    assert.is(entry.lastCall.call.resumeAfterId, '2');
    entry.lastCall.head({ headers: { seal: 'second' } }).sendEvents(3, 4);
    entry.lastCall.end();
    assert.is(caller.text, [1, 2, 3, 4].map((id) => `id: ${id}\ndata: note\n\n`).join(''));
    assert.equal(caller.ends, ['end']);
  }));

test('a stream that ends in the middle of an event is not treated as complete', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 2);
    const caller = entry.sendRequest('stream');
    entry.lastCall.head().sendEvents(1);
    entry.lastCall.send('id: 2\nda');
    entry.lastCall.end();
    assert.equal(caller.ends, []);
    entry.lastCall.head().send('id: 2\nda');
    entry.lastCall.end();
    assert.equal(caller.ends, ['abort'], 'its attempts are used up');
  }));

test('a stream whose resumption fails is aborted, not joined with an error response', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 3);
    const caller = entry.sendRequest('stream');
    entry.lastCall.head().sendEvents(1);
    entry.lastCall.fail();
    entry.lastCall.head({ status: 500 }).send('oops');
    assert.is(caller.text, 'id: 1\ndata: note\n\n');
    assert.equal(caller.ends, ['abort']);
  }));

test('a stream whose events have no ids is aborted where it breaks off, not started again', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 3);
    const caller = entry.sendRequest('stream');
    entry.lastCall.head().send('data: note\n\n').fail();
    assert.is(entry.calls.length, 1);
    assert.is(caller.text, 'data: note\n\n');
    assert.equal(caller.ends, ['abort']);
  }));

test('the attempt of a caller that disconnects is cancelled at once', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 1);
    const caller = entry.sendRequest('stream');
    entry.lastCall.head().sendEvents(1);
    caller.hangUp();
    assert.ok(entry.lastCall.isCancelled);
    assert.is(entry.board.upstreams[0]?.inFlight, 0);
  }));

test('a request ends when its route timeout expires', () =>
  withClock(async (clock) => {
    const entry = new DirectFixture();
    entry.addUpstreams('exchange', 1);
    const caller = entry.sendRequest('swap');
    await clock.tickAsync(1_199);
    assert.equal(caller.ends, []);
    await clock.tickAsync(2);
    assert.is(caller.refusal?.reason, RefusalReason.DeadlinePassed);
    assert.is(caller.refusal?.outcome, Outcome.Unknown);
    assert.ok(entry.lastCall.isCancelled);
  }));

test('an upstream receives the remaining time of the caller', () =>
  withClock(async (clock) => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 2);
    entry.sendRequest('stream', { deadlineMs: 5_000 });
    assert.is(entry.lastCall.call.remainingMs, 5_000);
    await clock.tickAsync(700);
    entry.lastCall.fail();
    assert.is(entry.lastCall.call.remainingMs, 4_300);
  }));

test('an upstream that is silent while others respond is replaced by another one', () =>
  withClock(async (clock) => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 3);
    entry.sendRequest('stream');
    const silent = entry.lastCall;
    entry.sendRequest('stream');
    const other = entry.lastCall;
    other.head();
    for (let id = 1; id <= 12; id += 1) {
      other.sendEvents(id);
      // eslint-disable-next-line no-await-in-loop -- the clock advances step by step
      await clock.tickAsync(100);
    }
    assert.ok(silent.isCancelled);
    assert.is(entry.calls.length, 3);
  }));

test('an upstream that is silent with its whole pool is kept until callers give up', () =>
  withClock(async (clock) => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 3);
    const caller = entry.sendRequest('stream');
    await clock.tickAsync(1_990);
    assert.is(entry.calls.length, 1);
    assert.not.ok(entry.lastCall.isCancelled);
    await clock.tickAsync(20);
    assert.is(caller.refusal?.reason, RefusalReason.UpstreamSilent);
    assert.is(caller.refusal?.outcome, Outcome.Unknown);
    assert.ok(entry.lastCall.isCancelled);
  }));

test('retries stay within the budget that all entries share', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.board.entryCount = 4;
    entry.addUpstreams('exchange', 3, 1_000);
    const failures = 200;
    Array.from({ length: failures }, () => {
      entry.sendRequest('catalogue');
      entry.lastCall.head({ ...HEAD, status: 500 });
      return entry.lastCall.head({ ...HEAD, status: 500 }).end();
    });
    const retries = entry.calls.length - failures;
    assert.ok(retries > 0);
    assert.ok(retries <= failures * 0.2, `${retries} retries of ${failures} requests`);
  }));

test('an entry without configuration does not report an unknown route', () =>
  withClock(() => {
    const entry = new DirectFixture();
    const bare = new DirectFixture();
    const refusal = entry.sendRequest('nowhere').refusal?.reason;
    assert.is(refusal, RefusalReason.UnknownRoute);
    Object.defineProperty(bare.board, 'table', { value: undefined });
    assert.is(bare.sendRequest('stream').refusal?.reason, RefusalReason.NoConfiguration);
  }));

test('an unknown key is refused, and the upstream receives the workspace of a known one', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 1);
    const stranger = entry.sendRequest('stream', { workspaceKey: 'lost-key' });
    assert.is(stranger.refusal?.reason, RefusalReason.UnknownWorkspace);
    entry.sendRequest('stream');
    assert.is(entry.lastCall.call.workspace, 'parish');
  }));

test.run();
