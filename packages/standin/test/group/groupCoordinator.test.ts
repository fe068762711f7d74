import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { CoordinatorPhase } from '@radishbay/core/groups/groupCoordinator.js';

import { CoordinatorBench, SHAPE } from './coordinatorBench.js';
import { TestLease } from './testLease.js';

/** Runs a test on a group of new engines without a map; no step may use two maps. */
function testGroup(name: string, run: (bench: CoordinatorBench) => Promise<void>): void {
  test(name, async () => {
    const bench = new CoordinatorBench();
    try {
      await run(bench);
      assert.is(bench.group.mixedSteps.length, 0);
    } finally {
      bench.close();
    }
  });
}

testGroup('a group without a map gets an initial one and starts to step', async (bench) => {
  bench.start(new TestLease(1));
  await bench.run(400);
  assert.is(bench.lastVersion, 1);
  assert.ok(bench.countSteps(300) >= 4);
});

testGroup('a skewed load leads to a new map, and the view shows its plan', async (bench) => {
  const coordinator = bench.start(new TestLease(1));
  await bench.run(3000);
  const { plan, mapVersion } = coordinator.view;
  assert.ok(mapVersion > 1);
  assert.is(bench.lastVersion, mapVersion);
  assert.ok(bench.metrics.readTotal('groups.map_switched') > 0);
  assert.ok(!plan || plan.savedMsPerStep > 0);
});

testGroup('a paused group keeps its map until it is resumed', async (bench) => {
  const coordinator = bench.start(new TestLease(1));
  coordinator.pause();
  await bench.run(3000);
  assert.is(bench.lastVersion, 1);
  coordinator.resume();
  await bench.run(5000);
  assert.ok(bench.lastVersion > 1);
});

testGroup('no new map is planned when the load is no longer reported', async (bench) => {
  const coordinator = bench.start(new TestLease(1));
  coordinator.pause();
  await bench.run(1000);
  Object.assign(bench, { isReporting: false });
  await bench.run(3000);
  coordinator.resume();
  await bench.run(6000);
  assert.is(bench.lastVersion, 1);
  assert.ok(bench.metrics.readTotal('groups.plan_refused') > 0);
});

testGroup('no new map is planned with a budget of less than one expert', async (bench) => {
  const coordinator = bench.start(new TestLease(1));
  coordinator.setByteBudget(999);
  await bench.run(3000);
  assert.is(bench.lastVersion, 1);
});

testGroup('a restarted engine gets its map again, and the group steps', async (bench) => {
  const coordinator = bench.start(new TestLease(1));
  coordinator.pause();
  await bench.run(1000);
  bench.group.engines[2]?.restart();
  await bench.run(4000);
  assert.ok(bench.countSteps(3000) > 40);
});

testGroup(
  'a coordinator whose lease has expired goes to standby, and the next one takes over',
  async (bench) => {
    const lease = new TestLease(1);
    const first = bench.start(lease);
    await bench.run(400);
    lease.isOwned = false;
    const second = bench.start(new TestLease(2));
    await bench.run(4000);
    assert.is(first.view.phase, CoordinatorPhase.Standby);
    assert.is(second.view.mapVersion, bench.lastVersion);
    assert.ok(bench.lastVersion > 1);
  },
);

testGroup(
  'a group steps with one map while two coordinators both assume that they hold the lease',
  async (bench) => {
    bench.start(new TestLease(1));
    bench.start(new TestLease(2));
    await bench.run(6000);
    assert.ok(bench.countSteps(5000) > 20);
  },
);

testGroup(
  'a map version is read back and used when the answer to its write is lost',
  async (bench) => {
    Object.assign(bench.store, { lostAnswers: 2 });
    bench.start(new TestLease(1));
    await bench.run(3000);
    const used = [...new Set(bench.group.record.map((step) => step.versions[0]))];
    assert.equal(used.slice(0, 2), [1, 2]);
  },
);

testGroup(
  'the group keeps stepping with its map while the platform is unavailable',
  async (bench) => {
    bench.start(new TestLease(1));
    await bench.run(400);
    Object.assign(bench.store, { isDown: true });
    await bench.run(4000);
    assert.is(bench.lastVersion, 1);
    assert.ok(bench.countSteps(3000) > 40);
  },
);

testGroup('rebalancing stops when no further gain is possible', async (bench) => {
  bench.start(new TestLease(1));
  await bench.run(6000);
  const version = bench.lastVersion;
  await bench.run(10_000);
  assert.is(bench.lastVersion, version);
  assert.ok(version <= 2 * SHAPE.ranks);
});

test.run();
