/** Guards against joining a stream with a response that does not go on after its last event. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { BASE_ROUTE, CONTENT, DirectFixture, withClock } from './directFixture.js';

/** @param attempts upstreams to which a request may be sent */
function createEntry(attempts: number): DirectFixture {
  const routes = [{ ...BASE_ROUTE, attempts }];
  const entry = new DirectFixture(1, undefined, 'entry-1', { ...CONTENT, routes });
  entry.addUpstreams('models', 4);
  return entry;
}

test('a broken stream is not complete by the empty rests of one upstream', () =>
  withClock(() => {
    const entry = createEntry(2);
    const caller = entry.sendRequest('stream');
    entry.lastCall.head().sendEvents(1, 2).fail();
    while (caller.ends.length === 0) entry.lastCall.head().end();
    assert.equal(caller.ends, ['abort']);
    const upstreams = entry.calls.slice(1).map(({ call }) => call.upstream.id);
    assert.is(new Set(upstreams).size, 1);
  }));

test('a broken stream goes on after an upstream that had no rest', () =>
  withClock(() => {
    const entry = createEntry(3);
    const caller = entry.sendRequest('stream');
    entry.lastCall.head().sendEvents(1, 2).fail();
    entry.lastCall.head().end();
    assert.equal(caller.ends, []);
    entry.lastCall.head().sendEvents(3).end();
    assert.is(caller.text, [1, 2, 3].map((id) => `id: ${id}\ndata: note\n\n`).join(''));
    assert.equal(caller.ends, ['end']);
  }));

test('a broken stream is complete if two upstreams have no rest', () =>
  withClock(() => {
    const entry = createEntry(3);
    const caller = entry.sendRequest('stream');
    entry.lastCall.head().sendEvents(1, 2).fail();
    entry.lastCall.head().end();
    entry.lastCall.head().end();
    assert.equal(caller.ends, ['end']);
    const upstreams = entry.calls.map(({ call }) => call.upstream.id);
    assert.is(new Set(upstreams).size, 3);
  }));

test('a broken stream goes on after an upstream that answers with an error', () =>
  withClock(() => {
    const entry = createEntry(3);
    const caller = entry.sendRequest('stream');
    entry.lastCall.head().sendEvents(1, 2).fail();
    entry.lastCall.head({ status: 500 });
    assert.equal(caller.ends, []);
    entry.lastCall.head().sendEvents(3).end();
    assert.equal(caller.ends, ['end']);
    assert.is(entry.log.find('Attempt failed.')?.fields.ending, 'error-status');
  }));

test('a broken stream goes on elsewhere if it is resumed at another event', () =>
  withClock(() => {
    const entry = createEntry(3);
    const caller = entry.sendRequest('stream');
    entry.lastCall.head().sendEvents(1, 2).fail();
    const misplaced = entry.lastCall.head().sendEvents(9);
    assert.ok(misplaced.isCancelled);
    assert.is(entry.lastCall.call.resumeAfterId, '2');
    entry.lastCall.head().send(': comment\n\n').sendEvents(3).end();
    assert.equal(caller.ends, ['end']);
    assert.not.match(caller.text, 'id: 9');
    assert.is(entry.metrics.readCount('stream.resume.misplaced'), 1);
  }));

test('a broken stream is not joined with an event without an id', () =>
  withClock(() => {
    const entry = createEntry(2);
    const caller = entry.sendRequest('stream');
    entry.lastCall.head().sendEvents(1, 2).fail();
    entry.lastCall.head().send('data: note\n\n');
    assert.equal(caller.ends, ['abort']);
    assert.is(caller.text, [1, 2].map((id) => `id: ${id}\ndata: note\n\n`).join(''));
  }));

test.run();
