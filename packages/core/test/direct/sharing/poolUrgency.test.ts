import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { FleetBoard } from '../../../src/direct/fleetBoard.js';
import { FleetDemand } from '../../../src/direct/sharing/fleetDemand.js';
import { MinimumShare } from '../../../src/direct/sharing/minimumShare.js';
import { PoolUrgency, type SlotOffer } from '../../../src/direct/sharing/poolUrgency.js';
import type { RankedRequest } from '../../../src/direct/sharing/urgencyRank.js';
import { MessageType } from '../../../src/messages/message.js';
import { CONTENT, DirectFixture, withClock } from '../directFixture.js';
import { BOUNDS } from '../sampleBounds.js';

const POOL = 'models';

/** An entry that has heard at time 0 what waits at one peer. */
function createUrgency(waiting: readonly number[]): PoolUrgency {
  const board = new FleetBoard('a', 'zone-a', BOUNDS);
  const peer = new FleetDemand();
  peer.addPool(POOL, () => 0);
  peer.setWaiting(POOL, waiting);
  const type = MessageType.UpstreamCounts as const;
  board.demand.apply({ type, entry: 'b', counts: {}, isFull: true, ...peer.readFull(0) }, 0);
  board.livePeers = new Set(['b']);
  return new PoolUrgency({ board, pool: POOL, countPrefilling: () => 0, draw: () => 0.5 });
}

function createRequest(priority: number): RankedRequest {
  return { priority, isLate: false };
}

const OFFER: SlotOffer = {
  freeSlots: 1,
  ownEqual: 1,
  isQueued: true,
  isOwnRelease: false,
};

// Guards against less urgent requests taking slots that more urgent ones wait for elsewhere.
test('a slot is taken only beyond what more urgent requests elsewhere wait for', () => {
  const urgency = createUrgency([2]);
  assert.not(urgency.mayTake(createRequest(2), { ...OFFER, freeSlots: 2 }, 0));
  assert.ok(urgency.mayTake(createRequest(2), { ...OFFER, freeSlots: 3 }, 0));
});

// Guards against all entries taking the same free slot at once.
test('equally urgent requests draw for a slot, and keep what their entry releases', () => {
  const urgency = createUrgency([4]);
  assert.not(urgency.mayTake(createRequest(0), { ...OFFER, isQueued: false }, 0));
  assert.not(urgency.mayTake(createRequest(0), OFFER, 0));
  assert.ok(urgency.mayTake(createRequest(0), { ...OFFER, isOwnRelease: true }, 0));
  assert.ok(urgency.mayTake(createRequest(0), { ...OFFER, freeSlots: 3 }, 20));
});

// Guards against an estimate by one entry's releases, which is many times too long.
test('a wait is estimated from the releases of all entries and from what waits everywhere', () => {
  const urgency = createUrgency([3, 0, 5]);
  const estimate = (priority: number, free: number) =>
    urgency.estimateWaitMs(createRequest(priority), 1, [{ free, intervalMs: 10 }], 0);
  assert.is(estimate(0, 0), 50);
  assert.is(estimate(2, 0), 100);
  assert.is(estimate(0, 5), 0);
  // After a loss of capacity, slots that are released are not given out at first.
  assert.is(estimate(0, -20), 250);
});

// Guards against a priority getting nothing while more urgent ones use up the pool.
test('a priority that gets nothing is put first often enough', () => {
  const share = new MinimumShare();
  let first = 0;
  for (let at = 0; at < 300; at += 1) {
    share.noteArrival(0);
    share.noteAdmitted(0);
    if (share.noteArrival(2)) {
      first += 1;
      share.noteAdmitted(2);
    }
  }
  assert.ok(first > 300 * 0.15 && first < 300 * 0.3, `${first} of 300`);
});

// Guards against the limit of prefills, which plain services do not have, holding requests back.
test('requests of plain services that differ in priority do not wait beside free slots', () =>
  withClock(() => {
    const routes = CONTENT.routes.map((route, at) => ({ ...route, priority: at }));
    const entry = new DirectFixture(1, undefined, 'entry-1', { ...CONTENT, routes });
    entry.addUpstreams('exchange', 3, 6);
    Array.from({ length: 10 }, () => entry.sendRequest('catalogue'));
    assert.is(entry.calls.length, 10);
  }));

test.run();
