import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { Outcome, RefusalReason } from '../../src/model/reason.js';

import { DirectFixture, withClock } from './directFixture.js';

/** Time until a stopping entry exits, from when it accepts short requests only. */
const REMAINING_MS = 4_900;

function createStopping(): DirectFixture {
  const entry = new DirectFixture();
  entry.addUpstreams('models', 2);
  entry.addUpstreams('exchange', 2);
  entry.controller.acceptOnlyShortRequests(performance.now() + REMAINING_MS);
  return entry;
}

test('a stopping entry still accepts a request whose timeout ends before it exits', () =>
  withClock(() => {
    const entry = createStopping();
    const caller = entry.sendRequest('swap');
    entry.lastCall.head().send('confirmed').end();
    assert.is(caller.text, 'confirmed');
  }));

test('a stopping entry refuses a stream as not run, with a Retry-After delay', () =>
  withClock(() => {
    const entry = createStopping();
    const caller = entry.sendRequest('stream');
    assert.is(caller.refusal?.reason, RefusalReason.ShuttingDown);
    assert.is(caller.refusal?.outcome, Outcome.NotRun);
    assert.ok((caller.refusal?.retryAfterMs ?? 0) > 0);
    assert.is(entry.calls.length, 0);
  }));

test('an entry about to exit refuses requests that could outlast it', () =>
  withClock(async (clock) => {
    const entry = createStopping();
    await clock.tickAsync(REMAINING_MS - 1_000);
    assert.is(entry.sendRequest('swap').refusal?.reason, RefusalReason.ShuttingDown);
  }));

test('a stream in progress is counted until it ends', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 1);
    entry.sendRequest('stream');
    assert.is(entry.controller.streamCount, 1);
    entry.lastCall.head().sendEvents(1).end();
    assert.is(entry.controller.streamCount, 0);
  }));

test.run();
