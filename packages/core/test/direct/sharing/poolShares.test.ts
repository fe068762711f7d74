import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { RouteTable, type DirectWorkspace } from '../../../src/direct/routeTable.js';
import { CONTENT, DirectFixture, withClock } from '../directFixture.js';

const SLOTS = 8;

/** An entry with one engine, whose slots are all held by the first workspace. */
function createFullEntry(names: readonly string[]): DirectFixture {
  const entry = new DirectFixture();
  const workspaces: readonly DirectWorkspace[] = names.map((name) => ({
    name,
    keys: [`${name}-key`],
    priority: undefined,
  }));
  entry.board.replaceTable(
    new RouteTable({ ...CONTENT, version: CONTENT.version + 1, workspaces }),
  );
  entry.addUpstreams('models', 1, SLOTS);
  Array.from({ length: SLOTS }, () => {
    entry.sendRequest('stream', { workspaceKey: `${names[0]}-key` });
    return entry.lastCall.head().sendEvents(1);
  });
  return entry;
}

test('a request of the workspace that holds the pool waits behind one of another', () =>
  withClock(async (clock) => {
    const entry = createFullEntry(['large', 'small']);
    entry.sendRequest('stream', { workspaceKey: 'large-key' });
    entry.sendRequest('stream', { workspaceKey: 'small-key' });
    await clock.tickAsync(50);
    entry.calls[0]?.end();
    assert.is(entry.lastCall.call.workspace, 'small');
  }));

test('while another workspace waits, the one that holds the pool is refused at once', () =>
  withClock(async (clock) => {
    const entry = createFullEntry(['large', 'small']);
    entry.sendRequest('stream', { workspaceKey: 'small-key' });
    await clock.tickAsync(50);
    const caller = entry.sendRequest('stream', { workspaceKey: 'large-key' });
    assert.ok(caller.refusal, 'its request would take the next slot');
    entry.calls.slice(0, 3).forEach((call) => call.end());
    await clock.tickAsync(50);
    entry.sendRequest('stream', { workspaceKey: 'large-key' });
    assert.is(entry.lastCall.call.workspace, 'large', 'nobody waits, so slots are not left idle');
  }));

test('with one workspace nothing is counted or sent to other entries', () =>
  withClock(async (clock) => {
    const entry = createFullEntry(['large']);
    const callers = Array.from({ length: 20 }, () =>
      entry.sendRequest('stream', { workspaceKey: 'large-key' }),
    );
    await clock.tickAsync(50);
    assert.ok(callers.some(({ refusal }) => refusal));
    assert.equal(entry.board.fairness.readFull(performance.now()), {});
  }));

test.run();
