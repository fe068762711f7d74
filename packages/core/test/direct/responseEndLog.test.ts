/** Log lines from which the end of a response can be told. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { AnswerFraming } from '../../src/ports/caller.js';
import { LogLevel } from '../../src/ports/log.js';

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

test.run();
