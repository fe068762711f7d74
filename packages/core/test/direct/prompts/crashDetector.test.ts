import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { RefusalReason, Outcome } from '../../../src/model/reason.js';
import type { FakeCaller } from '../../entry/fakeCaller.js';
import { DirectFixture, withClock, type TestClock } from '../directFixture.js';
import type { FakeCall } from '../fakeCall.js';

const ENGINES = 4;

/** Time in which it is known whether an upstream has crashed. */
const VERDICT_MS = 10;

interface Sent {
  readonly caller: FakeCaller;
  readonly call: FakeCall;
}

/** Sends a request that is placed at once. */
function send(entry: DirectFixture, parts: readonly string[]): Sent {
  const caller = entry.sendRequest('stream', { sharedPromptParts: parts });
  return { caller, call: entry.lastCall };
}

function crash({ upstreams }: DirectFixture, call: FakeCall): void {
  upstreams.refusing.add(call.call.upstream.id);
  call.fail();
}

/** Whether a request with a part would be sent now. */
function isHeld({ board }: DirectFixture, part: string): boolean {
  return board.quarantine.check('models', [part], 'probe', performance.now()) !== undefined;
}

function withEntry(body: (entry: DirectFixture, clock: TestClock) => Promise<void>) {
  return withClock(async (clock) => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', ENGINES);
    await body(entry, clock);
  });
}

test('a request that crashed its upstream is not sent to another one', () =>
  withEntry(async (entry, clock) => {
    const { caller, call } = send(entry, ['deadly']);
    call.head();
    crash(entry, call);
    await clock.tickAsync(VERDICT_MS);
    assert.is(entry.calls.length, 1);
    assert.is(caller.refusal?.outcome, Outcome.Unknown);
    assert.is(caller.refusal?.reason, RefusalReason.PromptQuarantined);
  }));

test('a request whose connection broke at a live upstream is sent to another one', () =>
  withEntry(async (entry, clock) => {
    const { caller, call } = send(entry, ['sound']);
    call.head().fail();
    await clock.tickAsync(VERDICT_MS);
    assert.is(entry.calls.length, 2);
    entry.lastCall.head().sendEvents(1, 2).end();
    assert.equal(caller.ends, ['end']);
    assert.not(isHeld(entry, 'sound'));
  }));

test('requests that had output at a crashed upstream are continued at another one', () =>
  withEntry(async (entry, clock) => {
    const { caller, call } = send(entry, ['sound']);
    call.head().sendEvents(1);
    crash(entry, call);
    await clock.tickAsync(VERDICT_MS);
    assert.is(entry.calls.length, 2);
    assert.is(entry.lastCall.call.resumeAfterId, '1');
    entry.lastCall.head().sendEvents(2, 3).end();
    assert.equal(caller.ends, ['end']);
  }));

test('a request with a held part is refused at once, as not run and with the time to return', () =>
  withEntry(async (entry, clock) => {
    const { call } = send(entry, ['deadly']);
    call.head();
    crash(entry, call);
    await clock.tickAsync(VERDICT_MS);
    const { refusal } = entry.sendRequest('stream', { sharedPromptParts: ['sound', 'deadly'] });
    assert.is(entry.calls.length, 1);
    assert.is(refusal?.outcome, Outcome.NotRun);
    assert.is(refusal?.reason, RefusalReason.PromptQuarantined);
    assert.ok((refusal?.retryAfterMs ?? 0) > 0);
  }));

test('requests without output that have the same part are ended when it is held', () =>
  withEntry(async (entry, clock) => {
    const first = send(entry, ['deadly']);
    const second = send(entry, ['deadly']);
    const sound = send(entry, ['sound']);
    first.call.head();
    second.call.head();
    crash(entry, first.call);
    await clock.tickAsync(VERDICT_MS);
    assert.ok(second.call.isCancelled);
    assert.is(second.caller.refusal?.outcome, Outcome.Unknown);
    assert.ok(sound.call.isOpen);
  }));

test('a request that its caller abandoned just before the crash can be its cause', () =>
  withEntry(async (entry, clock) => {
    const left = send(entry, ['deadly']);
    left.call.head();
    // The least loaded upstream is chosen, so the fifth request shares the first one's.
    const others = Array.from({ length: ENGINES }, () => send(entry, ['sound']));
    const beside = others.find(
      ({ call }) => call.call.upstream.id === left.call.call.upstream.id,
    )?.call;
    left.caller.hangUp();
    await clock.tickAsync(100);
    if (!beside) throw new Error('no request is at the same upstream');
    crash(entry, beside);
    await clock.tickAsync(VERDICT_MS);
    assert.ok(isHeld(entry, 'deadly'));
    assert.not(isHeld(entry, 'sound'));
  }));

test('an unframed response that breaks off is attributed like a broken connection', () =>
  withEntry(async (entry, clock) => {
    const { caller, call } = send(entry, ['deadly']);
    call.head().send('id: 1\ndata: cut in the mid');
    entry.upstreams.refusing.add(call.call.upstream.id);
    call.end();
    await clock.tickAsync(VERDICT_MS);
    assert.is(entry.calls.length, 1);
    assert.is(caller.refusal?.reason, RefusalReason.PromptQuarantined);
  }));

test('a trial that its caller leaves before the result is followed by another', () =>
  withEntry(async (entry, clock) => {
    const { call } = send(entry, ['deadly']);
    call.head();
    crash(entry, call);
    await clock.tickAsync(VERDICT_MS);
    const heldMs = entry.sendRequest('stream', { sharedPromptParts: ['deadly'] }).refusal
      ?.retryAfterMs;
    await clock.tickAsync((heldMs ?? 0) + 1);
    const trial = send(entry, ['deadly']);
    assert.is(entry.calls.length, 2);
    trial.caller.hangUp();
    send(entry, ['deadly']);
    assert.is(entry.calls.length, 3);
  }));

test.run();
