/** Failures of a peer while requests wait in it. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { FleetDemand } from '../../../src/direct/sharing/fleetDemand.js';
import type { CountsFields, CountsMessage } from '../../../src/direct/peerState.js';
import { MessageType, parseMessage } from '../../../src/messages/message.js';
import { withClock, type DirectFixture, type TestClock } from '../directFixture.js';

import { FleetRun } from './fleetRun.js';

const POOL = 'models';

/** Time after which nothing is held for a peer that is not heard. */
const HELD_MS = 1_600;

function createMessage(isFull: boolean, fields: CountsFields = {}): CountsMessage {
  return { type: MessageType.UpstreamCounts, entry: 'b', counts: {}, isFull, ...fields };
}

/** Demand of a peer with the given requests of rank 0 waiting. */
function createDemand(waiting: number): FleetDemand {
  const demand = new FleetDemand();
  demand.addPool(POOL, () => 2);
  demand.setWaiting(POOL, [waiting]);
  return demand;
}

/** An entry that has heard a peer's whole demand at time 0. */
function createListener(peer: FleetDemand): FleetDemand {
  const listener = new FleetDemand();
  listener.addPool(POOL, () => 0);
  listener.apply(createMessage(true, peer.readFull(0)), 0);
  return listener;
}

// Guards against messages that the receiver rejects as a whole, which would end the link.
test('the demand is part of a valid message', () => {
  const peer = createDemand(3);
  peer.noteArrival(POOL, 1, 0);
  const parsed = parseMessage(createMessage(true, peer.readFull(0)));
  assert.ok(parsed.ok);
  assert.equal(parsed.val, createMessage(true, peer.readFull(0)));
});

// Guards against slots that are kept free for an entry that no longer exists.
test('what waits in a peer is dropped with the link to it', () => {
  const listener = createListener(createDemand(3));
  assert.is(listener.countWaitingAbove(POOL, 1, 0), 3);
  listener.dropPeer('b');
  assert.is(listener.countWaitingAbove(POOL, 1, 0), 0);
  assert.not(listener.isKnown(POOL, new Set(['b'])));
});

// Guards against slots that are kept free for a suspended process until its link is given up.
test('nothing is held for a peer that freezes, until it is back', () => {
  const listener = createListener(createDemand(3));
  assert.is(listener.countWaitingAbove(POOL, 1, 500), 3);
  assert.is(listener.countWaitingAbove(POOL, 1, HELD_MS / 2), 0);
  listener.apply(createMessage(false), 3_000);
  assert.is(listener.countWaitingAbove(POOL, 1, 3_000), 3);
});

// Guards against demand of the previous run that is added to that of the new one.
test('a full message replaces everything, and a repeated one adds nothing', () => {
  const before = createDemand(3);
  before.noteArrival(POOL, 0, 0);
  const listener = createListener(before);
  listener.apply(createMessage(true, before.readFull(0)), 0);
  assert.is(listener.countWaitingAbove(POOL, 1, 0), 3);
  assert.is(listener.readArrivingAbovePerS(POOL, 1, 0), 1);
  listener.apply(createMessage(true, createDemand(1).readFull(0)), 10);
  assert.is(listener.countWaitingAbove(POOL, 1, 10), 1);
  assert.is(listener.readArrivingAbovePerS(POOL, 1, 10), 0);
});

// Guards against an entry of an earlier build being taken for one where nothing waits.
test('a peer is unknown until it tells its demand, which a change does in full', () => {
  const listener = createListener(createDemand(0));
  assert.ok(listener.isKnown(POOL, new Set(['b'])));
  listener.apply(createMessage(true), 10);
  assert.not(listener.isKnown(POOL, new Set(['b'])));
  listener.apply(createMessage(false), 20);
  assert.not(listener.isKnown(POOL, new Set(['b'])));
  const peer = createDemand(3);
  listener.apply(createMessage(false, peer.takeChanges(30) ?? {}), 30);
  assert.ok(listener.isKnown(POOL, new Set(['b'])));
  assert.is(listener.countWaitingAbove(POOL, 1, 30), 3);
  assert.is(listener.countPeersPrefilling(POOL, 30), 2);
  assert.not(listener.isKnown(POOL, new Set(['b', 'c'])));
});

// Guards against bytes in every message of deployments without priorities.
test('an entry without pools of several priorities tells nothing', () => {
  assert.equal(new FleetDemand().readFull(0), {});
});

const STEP_MS = 50;

/** Advances the clock while the engine emits events. */
async function advance(clock: TestClock, entry: DirectFixture, spanMs: number): Promise<void> {
  for (let passedMs = 0; passedMs < spanMs; passedMs += STEP_MS) {
    const id = Math.round(performance.now());
    entry.calls.filter(({ isOpen }) => isOpen).forEach((call) => call.head().sendEvents(id));
    // eslint-disable-next-line no-await-in-loop -- the clock advances step by step
    await clock.tickAsync(STEP_MS);
  }
}

/** Fills the slots of one engine from the first of two entries. */
async function createBusyRun(clock: TestClock) {
  const run = new FleetRun(clock, 2, 1);
  const [here, other] = run.entries;
  if (!here || !other) throw new Error('no entries');
  await clock.tickAsync(600);
  for (let started = 0; started < 7; started += 1) {
    here.sendRequest('class-0');
    here.lastCall.head().sendEvents(1);
  }
  // Both entries have seen the pool.
  other.sendRequest('class-0').hangUp();
  await advance(clock, here, 600);
  return { run, here, other };
}

// Guards against a slot that one entry releases going to a less urgent request there.
test('a slot is left to a more urgent request at another entry', () =>
  withClock(async (clock) => {
    const { run, here, other } = await createBusyRun(clock);
    const madeBefore = other.calls.length;
    other.sendRequest('class-0');
    here.sendRequest('class-2');
    await advance(clock, here, 50);
    here.calls[0]?.end();
    await advance(clock, here, 100);
    assert.is(here.calls.length, 7);
    assert.is(other.calls.length, madeBefore + 1);
    run.stop();
  }));

[
  { what: 'is silent', isSilent: () => true },
  { what: 'is cut off one way', isSilent: (sender: string) => sender === 'entry-1' },
].forEach(({ what, isSilent }) => {
  // Guards against a slot that stays empty for a request of a peer that cannot take it.
  test(`a slot is not kept for a peer that ${what}`, () =>
    withClock(async (clock) => {
      const { run, here, other } = await createBusyRun(clock);
      other.sendRequest('class-0');
      await advance(clock, here, 50);
      run.links.forEach((link) => {
        const sender = link.sent.map((message) => ('entry' in message ? message.entry : ''))[0];
        Object.assign(link, { isSilent: isSilent(sender ?? '') });
      });
      const caller = here.sendRequest('class-2');
      here.calls[0]?.end();
      assert.is(here.calls.length, 7);
      await advance(clock, here, HELD_MS);
      assert.is(here.calls.length, 8);
      assert.not(caller.refusal);
      run.stop();
    }));
});

test.run();
