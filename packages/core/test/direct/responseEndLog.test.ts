/** Log lines from which the end of a response can be told. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { AnswerFraming } from '../../src/ports/caller.js';
import { LogLevel } from '../../src/ports/log.js';

import type { FakeCall } from './fakeCall.js';
import { DirectFixture, withClock } from './directFixture.js';

test('a line on a complete stream tells its framing, events and last id', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 2);
    entry.sendRequest('stream');
    entry.lastCall.head().sendEvents(1, 2).end();
    const line = entry.log.find('Request answered.');
    assert.is(line?.level, LogLevel.Routine);
    assert.is(line?.fields.framing, AnswerFraming.Delimited);
    assert.is(line?.fields.attemptEvents, 2);
    assert.is(line?.fields.lastEventId, '2');
  }));

test('a line on a response that ended with its connection is never sampled', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('exchange', 2);
    entry.sendRequest('swap');
    entry.lastCall.head({ framing: AnswerFraming.UntilClose }).send('confirmed').end();
    const line = entry.log.find('Request answered.');
    assert.is(line?.level, LogLevel.Info);
    assert.is(line?.fields.framing, AnswerFraming.UntilClose);
    assert.is(entry.metrics.readCount('request.answered.until.close'), 1);
  }));

test('lines on a resumed stream tell after which event', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 2);
    entry.sendRequest('stream');
    entry.lastCall.head().sendEvents(1, 2).fail();
    assert.is(entry.log.find('Attempt failed.')?.fields.lastEventId, '2');
    assert.is(entry.log.find('Attempt failed.')?.fields.attemptEvents, 2);
    assert.is(entry.log.find('Request sent.')?.fields.resumeAfterId, '2');
    entry.lastCall.head().sendEvents(3).end();
    assert.is(entry.log.find('Request answered.')?.fields.attemptEvents, 1);
  }));

const UNFRAMED = { framing: AnswerFraming.UntilClose };

/** What two attempts do, and how the last line of their request tells it. */
const CUT_STREAMS: readonly {
  readonly name: string;
  readonly first: (call: FakeCall) => void;
  readonly second: (call: FakeCall) => void;
  readonly reason: string;
  readonly endings: readonly string[];
}[] = [
  {
    name: 'an end that no other response confirms',
    first: (call) => call.head(UNFRAMED).sendEvents(1, 2).end(),
    second: (call) => call.head(UNFRAMED).end(),
    reason: 'end-unconfirmed',
    endings: ['unconfirmed 2', ...Array.from({ length: 4 }, () => 'empty 0')],
  },
  {
    name: 'two broken responses',
    first: (call) => call.head().sendEvents(1, 2).fail(),
    second: (call) => call.head(UNFRAMED).send('id: 3').end(),
    reason: 'upstream-failed',
    endings: ['connection-lost 2', 'within-event 0'],
  },
  {
    name: 'a server error in place of the rest',
    first: (call) => call.head().sendEvents(1, 2).fail(),
    second: (call) => call.head({ status: 500 }).end(),
    reason: 'upstream-failed',
    endings: ['connection-lost 2', 'error-status 0'],
  },
];

CUT_STREAMS.forEach(({ name, first, second, reason, endings }) => {
  test(`the last line on a cut stream tells ${name}`, () =>
    withClock(() => {
      const entry = new DirectFixture();
      entry.addUpstreams('models', 2);
      const caller = entry.sendRequest('stream');
      first(entry.lastCall);
      // The upstreams of a stream that may be complete are asked more than once.
      while (caller.ends.length === 0) second(entry.lastCall);
      assert.equal(caller.ends, ['abort']);
      const line = entry.log.find('Request not answered.');
      assert.is(line?.level, LogLevel.Warn);
      assert.is(line?.fields.reason, reason);
      assert.is(line?.fields.lastEventId, '2');
      const upstreams = entry.calls.map(({ call }) => call.upstream.id);
      const attempts = endings.map((ending, at) => `${upstreams[at]} ${ending}`);
      assert.is(line?.fields.attempts, attempts.join(', '));
      assert.is(entry.metrics.readCount(`response.cut{reason=${reason}}`), 1);
    }));
});

test('the last line on a cut stream tells that the retry budget is spent', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 2);
    entry.board.entryCount = 1_000;
    entry.sendRequest('stream');
    entry.lastCall.head(UNFRAMED).sendEvents(1).end();
    assert.is(entry.log.find('Request not answered.')?.fields.notRetried, 'budget-spent');
  }));

test('a line on an ejected upstream names the request and how its attempt ended', () =>
  withClock(() => {
    const entry = new DirectFixture();
    entry.addUpstreams('models', 1);
    ['request-1', 'request-2'].forEach(() => {
      entry.sendRequest('stream');
      entry.lastCall.head().sendEvents(1).send('id: 2').end();
    });
    const line = entry.log.find('Upstream ejected.');
    assert.equal([line?.fields.request, line?.fields.ending], ['request-2', 'within-event']);
  }));

test.run();
