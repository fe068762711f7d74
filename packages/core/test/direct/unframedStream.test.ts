/**
 * Streams that have neither a length nor chunks and end with their connection. One that ended
 * before its first event reached its caller as a complete, empty one; one that ended within an
 * event counted as a success of its upstream; one that ended between two events counted as whole.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { AnswerFraming } from '../../src/ports/caller.js';
import { BASE_ROUTE, CONTENT, DirectFixture, withClock } from './directFixture.js';

const UNFRAMED = { framing: AnswerFraming.UntilClose };

/** More requests than the retry budget has retries without any request. */
const REQUESTS = 200;

const REQUEST_INTERVAL_MS = 20;

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

test('an unframed stream that ends between events goes on elsewhere where it was cut', () =>
  withClock(() => {
    const entry = createEntry();
    const caller = entry.sendRequest('stream');
    entry.lastCall.head(UNFRAMED).sendEvents(1, 2).end();
    assert.equal(caller.ends, []);
    assert.is(entry.lastCall.call.resumeAfterId, '2');
    assert.is.not(entry.calls[0]?.call.upstream.id, entry.calls[1]?.call.upstream.id);
    entry.lastCall.head().sendEvents(3).end();
    assert.is(caller.text, [1, 2, 3].map((id) => `id: ${id}\ndata: note\n\n`).join(''));
    assert.equal(caller.ends, ['end']);
    assert.is(entry.metrics.readCount('stream.end.settled{outcome=truncated}'), 1);
  }));

test('an unframed stream is complete once another upstream has no more events', () =>
  withClock(() => {
    const entry = createEntry();
    const caller = entry.sendRequest('stream');
    entry.lastCall.head(UNFRAMED).sendEvents(1, 2).end();
    entry.lastCall.head().end();
    assert.equal(caller.ends, ['end']);
    assert.is(entry.calls.length, 2);
    assert.is(entry.metrics.readCount('stream.end.settled{outcome=complete}'), 1);
  }));

test('an unframed stream that cannot be resumed is aborted at its end', () =>
  withClock(() => {
    const routes = [{ ...BASE_ROUTE, isResumable: false }];
    const entry = new DirectFixture(1, undefined, 'entry-1', { ...CONTENT, routes });
    entry.addUpstreams('models', 2);
    const caller = entry.sendRequest('stream');
    entry.lastCall.head(UNFRAMED).sendEvents(1, 2).end();
    assert.equal(caller.ends, ['abort']);
    assert.is(entry.calls.length, 1);
  }));

test('an unframed stream is aborted at its end if the retry budget is spent', () =>
  withClock((clock) => {
    const entry = createEntry(8);
    entry.board.entryCount = 4;
    const callers = Array.from({ length: REQUESTS }, () => {
      clock.tick(REQUEST_INTERVAL_MS);
      const caller = entry.sendRequest('stream');
      const [first] = entry.calls.slice(-1);
      first?.head(UNFRAMED).sendEvents(1).end();
      if (entry.lastCall !== first) entry.lastCall.head().end();
      return caller;
    });
    const aborted = callers.filter(({ ends }) => ends.join() === 'abort').length;
    assert.ok(callers.every(({ ends }) => ends.length === 1));
    assert.ok(aborted > 0);
    assert.is(aborted, entry.metrics.readCount('request.not.retried{reason=budget-spent}'));
  }));

test('an unframed stream is aborted if all attempts for its rest are empty', () =>
  withClock(() => {
    const entry = createEntry();
    const caller = entry.sendRequest('stream');
    entry.lastCall.head(UNFRAMED).sendEvents(1).end();
    while (caller.ends.length === 0) entry.lastCall.head(UNFRAMED).end();
    assert.equal(caller.ends, ['abort']);
  }));

test('an upstream whose unframed streams prove to be cut is ejected', () =>
  withClock(() => {
    const entry = createEntry(2);
    const cut = Array.from({ length: EJECTING_FAILURES }, () => {
      entry.sendRequest('stream');
      const call = entry.lastCall;
      call.head(UNFRAMED).sendEvents(1).end();
      entry.lastCall.head().sendEvents(2).end();
      return call.call.upstream.id;
    });
    const nowMs = performance.now();
    const ejected = entry.board.upstreams.filter(({ ejection }) => ejection.isEjected(nowMs));
    assert.equal(
      ejected.map(({ id }) => id),
      cut.filter((id, at) => cut.indexOf(id) !== at),
    );
  }));

test('a framed stream without any event is complete', () =>
  withClock(() => {
    const entry = createEntry();
    const caller = entry.sendRequest('stream');
    entry.lastCall.head().end();
    assert.equal(caller.ends, ['end']);
  }));

test('a framed stream with a comment and no event is complete', () =>
  withClock(() => {
    const entry = createEntry();
    const caller = entry.sendRequest('stream');
    entry.lastCall.head().send(': comment\n\n').end();
    assert.equal(caller.ends, ['end']);
  }));

test('a comment does not show that an unframed stream was cut', () =>
  withClock(() => {
    const entry = createEntry();
    const caller = entry.sendRequest('stream');
    entry.lastCall.head(UNFRAMED).sendEvents(1).end();
    entry.lastCall.head().send(': comment\n\n').end();
    assert.equal(caller.ends, ['end']);
    assert.is(entry.metrics.readCount('stream.end.settled{outcome=complete}'), 1);
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
