/** Workspace shares in a pool whose slots are given out by urgency. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { RouteTable, type DirectWorkspace } from '../../../src/direct/routeTable.js';
import { BASE_ROUTE, CONTENT, DirectFixture, withClock } from '../directFixture.js';

const SLOTS = 8;

/** An entry with one engine, whose slots are all held by the first workspace. */
function createFullEntry(names: readonly string[]): DirectFixture {
  const entry = new DirectFixture();
  const workspaces: readonly DirectWorkspace[] = names.map((name) => ({
    name,
    keys: [`${name}-key`],
    priority: undefined,
  }));
  const routes = [0, 2].map((priority) => ({
    ...BASE_ROUTE,
    name: `class-${priority}`,
    pathPrefix: `/class-${priority}/`,
    priority,
  }));
  const { version } = CONTENT;
  entry.board.replaceTable(
    new RouteTable({ ...CONTENT, version: version + 1, routes, workspaces }),
  );
  entry.addUpstreams('models', 1, SLOTS);
  Array.from({ length: SLOTS }, () => {
    entry.sendRequest('class-0', { workspaceKey: `${names[0]}-key` });
    return entry.lastCall.head().sendEvents(1);
  });
  return entry;
}

// Guards against urgency alone deciding, so that one workspace takes a whole priority.
test('a workspace that holds the pool yields to another of its priority', () =>
  withClock(async (clock) => {
    const entry = createFullEntry(['large', 'small']);
    entry.sendRequest('class-0', { workspaceKey: 'large-key' });
    entry.sendRequest('class-0', { workspaceKey: 'small-key' });
    await clock.tickAsync(50);
    const late = entry.sendRequest('class-0', { workspaceKey: 'large-key' });
    assert.ok(late.refusal, 'its request would take the next slot');
    entry.calls[0]?.end();
    assert.is(entry.lastCall.call.workspace, 'small');
  }));

// Guards against shares that put a less urgent request before a more urgent one.
test('a workspace that holds the pool does not yield to a less urgent request', () =>
  withClock(async (clock) => {
    const entry = createFullEntry(['large', 'small']);
    entry.sendRequest('class-2', { workspaceKey: 'small-key' });
    await clock.tickAsync(50);
    const urgent = entry.sendRequest('class-0', { workspaceKey: 'large-key' });
    assert.not(urgent.refusal);
    entry.calls[0]?.end();
    assert.is(entry.lastCall.call.workspace, 'large');
    entry.calls[1]?.end();
    assert.is(entry.lastCall.call.workspace, 'small');
  }));

// Guards against outcomes that are counted twice, or for the wrong priority.
test('the outcome of each first attempt is counted by priority', () =>
  withClock(async (clock) => {
    const entry = createFullEntry(['large', 'small']);
    entry.calls.forEach((call) => call.sendEvents(2));
    entry.sendRequest('class-2', { workspaceKey: 'small-key' });
    await clock.tickAsync(50);
    entry.sendRequest('class-2', { workspaceKey: 'large-key' });
    entry.calls[0]?.end();
    await clock.tickAsync(500);
    entry.lastCall.head().sendEvents(1);
    const read = (priority: number, outcome: string) =>
      entry.metrics.readCount(
        `priority.attempts{outcome=${outcome},pool=models,priority=${priority}}`,
      );
    assert.is(read(0, 'on-time'), SLOTS);
    assert.is(read(2, 'refused'), 1);
    assert.is(read(2, 'late'), 1);
    assert.is(entry.metrics.readTotal('priority.attempts'), SLOTS + 2);
  }));

test.run();
