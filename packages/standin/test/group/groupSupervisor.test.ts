import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { NO_FAULT } from '@radishbay/link/memory/linkFaults.js';

import { LinkedGroup, RANKS } from './linkedGroup.js';

const RUN_MS = 60_000;

/** A message in the middle of a switch, while ranks are held. */
const MID_SWITCH_MESSAGE = RANKS * 3;

/** Allows for a step and a few round trips on the fake clock. */
const STALL_LIMIT_MS = 100;

/** Runs a test on a group over links; no step may use two maps, and it must step at the end. */
function testSupervisor(name: string, run: (world: LinkedGroup) => Promise<void>): void {
  test(name, async () => {
    const world = new LinkedGroup(7);
    try {
      await run(world);
      assert.equal(world.group.mixedSteps, []);
      assert.ok(world.countSteps(1_000) > 0);
    } finally {
      world.dispose();
    }
  });
}

testSupervisor('a paused group gets no new map until it is resumed', async (world) => {
  world.writeGroup(true);
  await world.clock.advance(RUN_MS);
  assert.is(world.mapsUsed.size, 1);
  world.writeGroup(false);
  await world.clock.advance(RUN_MS);
  assert.ok(world.mapsUsed.size > 1);
});

testSupervisor('a coordinator that is shut down completes its switch first', async (world) => {
  let stopped: Promise<void> | undefined;
  world.setSwitchFate((index) => {
    if (index === MID_SWITCH_MESSAGE) stopped = world.stopEntry(world.coordinator ?? '');
    return NO_FAULT;
  });
  await world.clock.advance(RUN_MS);
  await stopped;
  assert.is(world.entries.size, 1);
  assert.is(world.metrics.readCount('groups.recovery'), 0);
  assert.ok(world.group.longestStallMs < STALL_LIMIT_MS, `${world.group.longestStallMs} ms`);
  assert.is(world.metrics.readCount('lease.taken{key=lease/group/choir}'), 2);
});

testSupervisor(
  'a coordinator that cannot reach a rank releases the lease to another entry',
  async (world) => {
    await world.clock.advance(RUN_MS);
    const before = world.coordinator ?? '';
    world.dropMessages(before, 2);
    const { size } = world.mapsUsed;
    await world.clock.advance(2 * RUN_MS);
    assert.is(world.describe(before)?.phase, 'standby');
    assert.ok(world.mapsUsed.size > size);
  },
);

testSupervisor('operators see the map and the plan with its gain and cost', async (world) => {
  await world.clock.advance(RUN_MS);
  const row = world.describe(world.coordinator ?? '');
  assert.is(row?.mapVersion, Math.max(...world.mapsUsed));
  assert.ok(Number(row?.planSavedMsPerStep) > 0);
  assert.ok(Number(row?.planCostMs) > 0);
});

test.run();
