import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type { LinkEvent, LinkFault } from '@radishbay/link/memory/linkFaults.js';
import { NO_FAULT, LinkFaultKind } from '@radishbay/link/memory/linkFaults.js';

import { LinkedGroup, RANKS, loseMessage } from './linkedGroup.js';

/** Hold, switch and release orders to each rank, and their replies. */
const SWITCH_MESSAGES = 6 * RANKS;

const SWITCH_LIMIT_MS = 40_000;

/** Time within which a group steps again after a fault at one message of its switch. */
const RECOVERY_MS = 15_000;

const SIDE_DOWN_MS = 300;

type FaultInjection = (world: LinkedGroup, event: LinkEvent) => LinkFault;

function killCoordinator(world: LinkedGroup): LinkFault {
  const name = world.coordinator;
  if (name) world.killEntry(name);
  return NO_FAULT;
}

/** Injects a fault at one message of the first switch and checks that the group recovers safely. */
async function runWithFault(index: number, injectFault: FaultInjection): Promise<void> {
  const world = new LinkedGroup(index + 1);
  let isInjected = false;
  world.setSwitchFate((message, event) => {
    if (message !== index) return NO_FAULT;
    isInjected = true;
    return injectFault(world, event);
  });
  try {
    await world.clock.advanceUntil(() => isInjected, SWITCH_LIMIT_MS);
    await world.clock.advance(RECOVERY_MS);
    assert.ok(isInjected, `message ${index} was never sent`);
    assert.equal(world.group.mixedSteps, [], `message ${index}: some steps used two maps`);
    assert.ok(world.countSteps(1_000) > 0, `message ${index}: the group does not step`);
  } finally {
    world.dispose();
  }
}

/** Tests a fault at each message of a switch, one run after the other. */
function testFaultAtEachMessage(name: string, injectFault: FaultInjection): void {
  test(name, async () => {
    const indexes = Array.from({ length: SWITCH_MESSAGES }, (_, index) => index);
    await indexes.reduce(
      (before, index) => before.then(() => runWithFault(index, injectFault)),
      Promise.resolve(),
    );
  });
}

test('a group over links gets an initial map and new ones as its load changes', async () => {
  const world = new LinkedGroup(1);
  try {
    await world.clock.advance(60_000);
    assert.equal(world.group.mixedSteps, []);
    assert.ok(world.mapsUsed.size >= 3);
    assert.is(world.switchMessages, SWITCH_MESSAGES * (world.mapsUsed.size - 1));
    assert.ok(world.countSteps(1_000) > 0);
  } finally {
    world.dispose();
  }
});

testFaultAtEachMessage('every step uses one map when the coordinator is killed', killCoordinator);

testFaultAtEachMessage('a group recovers without the platform and its coordinator', (world) => {
  world.breakPlatform();
  return killCoordinator(world);
});

[
  LinkFaultKind.Drop,
  LinkFaultKind.Cut,
  LinkFaultKind.CutSender,
  LinkFaultKind.CutReceiver,
  LinkFaultKind.Silence,
].forEach((kind) =>
  testFaultAtEachMessage(`every step uses one map when a message has fault ${kind}`, () =>
    loseMessage(kind),
  ),
);

testFaultAtEachMessage('every step uses one map when a side process is killed', (world, event) => {
  world.restartSide(world.findRank(event.address), SIDE_DOWN_MS);
  return NO_FAULT;
});

test.run();
