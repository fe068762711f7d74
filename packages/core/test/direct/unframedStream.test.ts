/**
 * Streams that have neither a length nor chunks and end with their connection. One that ended
 * before its first event reached its caller as a complete, empty one; one that ended within an
 * event counted as a success of its upstream.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { AnswerFraming } from '../../src/ports/caller.js';
import { DirectFixture, withClock } from './directFixture.js';

const UNFRAMED = { framing: AnswerFraming.UntilClose };

/** Failures of one upstream after which it is ejected. */
const EJECTING_FAILURES = 2;

function createEntry(engines = 2): DirectFixture {
  const entry = new DirectFixture();
  entry.addUpstreams('models', engines);
  return entry;
}

test('an unframed stream that ends before its first event is continued elsewhere', () =>
  withClock(() => {
    const entry = createEntry();
    const caller = entry.sendRequest('stream');
    entry.lastCall.head(UNFRAMED).end();
    assert.equal(caller.ends, []);
    assert.is(entry.calls.length, 2);
    entry.lastCall.head().sendEvents(1).end();
    assert.equal(caller.ends, ['end']);
    assert.is(caller.text, 'id: 1\ndata: note\n\n');
  }));

test('a resumed stream that is unframed and ends before an event is not complete', () =>
  withClock(() => {
    const entry = createEntry();
    const caller = entry.sendRequest('stream');
    entry.lastCall.head().sendEvents(1).fail();
    entry.lastCall.head(UNFRAMED).end();
    assert.is.not(caller.ends[0], 'end');
  }));

test('an unframed stream that ends between events is complete', () =>
  withClock(() => {
    const entry = createEntry();
    const caller = entry.sendRequest('stream');
    entry.lastCall.head(UNFRAMED).sendEvents(1, 2).end();
    assert.equal(caller.ends, ['end']);
    assert.is(entry.calls.length, 1);
  }));

test('a framed stream without any event is complete', () =>
  withClock(() => {
    const entry = createEntry();
    const caller = entry.sendRequest('stream');
    entry.lastCall.head().end();
    assert.equal(caller.ends, ['end']);
  }));

test('an upstream whose streams end within an event is ejected', () =>
  withClock(() => {
    const entry = createEntry(1);
    Array.from({ length: EJECTING_FAILURES }, () => {
      entry.sendRequest('stream');
      return entry.lastCall.head(UNFRAMED).sendEvents(1).send('id: 2\ndata: cut').end();
    });
    const upstream = entry.board.findUpstream('models-0');
    assert.ok(upstream?.ejection.isEjected(performance.now()));
  }));

test.run();
