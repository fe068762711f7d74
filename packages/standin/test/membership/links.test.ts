import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { DomainState } from '@radishbay/core/config/object.js';
import { SideLinkState } from '@radishbay/core/state/entryBoard.js';

import { StoreFault } from '../../src/platform/storeFault.js';
import { TestFleet } from '../support/testFleet.js';

let fleet: TestFleet;

test.before.each(async () => {
  fleet = new TestFleet(1, 3);
  await fleet.advance(5_000);
});

test.after.each(() => fleet.end());

test('every entry links to every side process and sends work to it', () => {
  const states = [...fleet.entries.values()].flatMap((entry) =>
    [...entry.board.upstreams.values()].map((upstream) => upstream.linkState),
  );
  assert.equal(states, new Array(9).fill(SideLinkState.Open));
  fleet.sides.forEach((side) => assert.ok(side.engine.startsMs.length > 10));
});

test('a drain reaches all entries and the side process within a second', async () => {
  fleet.writeDomain('zone-b', DomainState.Drained);
  await fleet.advance(1_000);
  const states = [0, 1, 2].map((index) => fleet.readDomain(index, 'zone-b'));
  assert.equal(states, new Array(3).fill(DomainState.Drained));
  const { startsMs } = fleet.side('zone-b').engine;
  const before = startsMs.length;
  await fleet.advance(5_000);
  assert.is(startsMs.length, before);
});

test('an entry that cannot reach the platform receives a change from its peers', async () => {
  fleet.entry(1).store.setFault(StoreFault.Silent);
  await fleet.advance(100);
  fleet.writeDomain('zone-b', DomainState.Drained);
  await fleet.advance(1_000);
  assert.is(fleet.readDomain(1, 'zone-b'), DomainState.Drained);
});

test('an entry that starts during a platform outage gets the configuration from its peers', async () => {
  fleet.killEntry(2);
  fleet.platform.setFault(StoreFault.Unavailable);
  fleet.entries.forEach((entry) => entry.store.setFault(StoreFault.Unavailable));
  const entry = fleet.startEntry('entry-2');
  entry.store.setFault(StoreFault.Unavailable);
  await fleet.advance(5_000);
  assert.ok(entry.board.isCurrent);
  assert.is(entry.board.upstreams.size, 3);
});

test('entries keep their configuration lease while the platform is down for all', async () => {
  fleet.entries.forEach((entry) => entry.store.setFault(StoreFault.Unavailable));
  await fleet.advance(30_000);
  fleet.entries.forEach((entry) => assert.ok(entry.board.isCurrent));
});

test('an entry that reaches neither platform nor peers begins no work after its lease expires', async () => {
  fleet.entry(0).store.setFault(StoreFault.Silent);
  [1, 2].forEach((index) => fleet.network.cut(fleet.entry(0).node, fleet.entry(index).node));
  await fleet.advance(fleet.timing.configLeaseMs);
  assert.not.ok(fleet.entry(0).board.isCurrent);
});

test('a link that goes silent is closed and reconnected', async () => {
  const { node, board } = fleet.entry(0);
  fleet.network.cut(node, 'worker-1');
  await fleet.advance(fleet.timing.silenceLimitMs + fleet.timing.heartbeatMs);
  assert.is(board.upstreams.get('worker-1')?.linkState, SideLinkState.Lost);
  fleet.network.heal(node, 'worker-1');
  await fleet.advance(fleet.timing.silenceLimitMs + 2 * fleet.timing.reconnectMaxMs);
  assert.is(board.upstreams.get('worker-1')?.linkState, SideLinkState.Open);
});

test.run();
