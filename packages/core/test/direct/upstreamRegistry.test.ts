import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { DirectFixture, withClock } from './directFixture.js';

function createEntry(entry: DirectFixture) {
  entry.addUpstreams('models', 2);
  const known = entry.board.findUpstream('models-0')?.entry;
  if (!known) throw new Error('no upstream');
  return known;
}

test('an upstream that expired in an outage is kept until live upstreams have registered again', () =>
  withClock(async (clock) => {
    const entry = new DirectFixture();
    const known = createEntry(entry);
    entry.registry.notePlatformRecovery(performance.now());
    entry.registry.replaceAll([], performance.now());
    assert.ok(entry.board.findUpstream('models-0'));
    await clock.tickAsync(1_500);
    entry.registry.put(known);
    await clock.tickAsync(1_500);
    assert.ok(entry.board.findUpstream('models-0'), 'it has registered again');
    assert.not.ok(entry.board.findUpstream('models-1'), 'it was removed');
  }));

test('without an outage, a removed upstream is dropped at once', () =>
  withClock(() => {
    const entry = new DirectFixture();
    createEntry(entry);
    entry.registry.remove('models-0', performance.now());
    assert.not.ok(entry.board.findUpstream('models-0'));
  }));

test('an outdated message does not make a leaving upstream available again', () =>
  withClock(() => {
    const entry = new DirectFixture();
    const known = createEntry(entry);
    entry.registry.put({ ...known, isLeaving: true });
    entry.registry.put({ ...known, isLeaving: false });
    assert.ok(entry.board.findUpstream('models-0')?.entry.isLeaving);
    entry.registry.remove('models-0', performance.now());
    entry.registry.put({ ...known, isLeaving: false });
    assert.ok(entry.board.findUpstream('models-0')?.entry.isLeaving);
  }));

test('a restarted upstream is available, and messages of its last incarnation are ignored', () =>
  withClock(() => {
    const entry = new DirectFixture();
    const known = createEntry(entry);
    entry.registry.put({ ...known, isLeaving: true });
    entry.registry.put({ ...known, startedAtUnixMs: 2 });
    assert.not.ok(entry.board.findUpstream('models-0')?.entry.isLeaving);
    entry.registry.put({ ...known, isLeaving: true });
    assert.not.ok(entry.board.findUpstream('models-0')?.entry.isLeaving);
  }));

test.run();
