import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { RankOrderKind, type RankCommand } from '../../../src/direct/experts/rankCaller.js';
import type { FleetBoard } from '../../../src/direct/fleetBoard.js';
import { withClock, type TestClock } from '../directFixture.js';

import {
  SIZE,
  createBoard,
  createCoordinator,
  createCoordinatorOn,
  createGroup,
} from './groupFixture.js';
import { PausableCaller } from './pausableCaller.js';
import type { RankGroup } from './rankGroup.js';
import { finish, switchMap } from './switchFixture.js';

/** Each rank holds two of eight experts of one layer. */
test('a coordinator paused at any order is replaced, and every pass has a single map', async () => {
  const orders = SIZE + 1 + SIZE + 1;
  for (let paused = 0; paused <= orders; paused += 1) {
    // eslint-disable-next-line no-await-in-loop -- one clock after the other
    await withClock(async (clock) => {
      const group = createGroup(paused + 1);
      const first = new PausableCaller(group, paused);
      const late = switchMap(first, createBoard('entry-1'), 1_025, 0);
      await clock.tickAsync(4_000);
      const { coordinator } = createCoordinator('entry-2', group);
      coordinator.start();
      await clock.tickAsync(8_000);
      assert.not.ok(group.isHeld, `paused at order ${paused}`);
      const { step } = group;
      first.resume();
      await clock.tickAsync(100);
      first.resume();
      await finish(clock, late);
      await clock.tickAsync(4_000);
      assert.ok(group.step > step, `passes continue, paused at order ${paused}`);
      assert.equal(group.mixedMapPasses, [], `paused at order ${paused}`);
      assert.not.ok(group.isHeld, `held after the pause at order ${paused}`);
      coordinator.stop();
      group.stop();
    });
  }
});

test('a group whose coordinator is lost while holding a pass continues within 1.5 s', () =>
  withClock(async (clock) => {
    const group = createGroup(8);
    const lost = new PausableCaller(group, SIZE + 1 + 2);
    switchMap(lost, createBoard('entry-1'), 1_025, 0).catch(() => {});
    const { board, coordinator } = createCoordinator('entry-2', group);
    // The lost entry still counts as connected, so this one is not the coordinator.
    board.livePeers = new Set(['entry-1']);
    coordinator.start();
    while (!group.isHeld) {
      // eslint-disable-next-line no-await-in-loop -- the clock advances step by step
      await clock.tickAsync(10);
    }
    const activity = board.getActivity('models');
    for (let request = 0; request < 6; request += 1) activity.noteStart(performance.now());
    activity.noteOutput(performance.now());
    await clock.tickAsync(600 + 1_500);
    assert.not.ok(group.isHeld);
    assert.equal(group.versions, [0, 1_025]);
    assert.equal(group.mixedMapPasses, []);
    coordinator.stop();
    group.stop();
  }));

/** Creates a group held by a frozen coordinator, with two requests that get no response. */
async function holdGroup(clock: TestClock, board: FleetBoard, armed = 2): Promise<RankGroup> {
  const group = createGroup(8);
  const frozen = new PausableCaller(group, SIZE + 1 + armed);
  switchMap(frozen, createBoard('entry-1'), 1_025, 0).catch(() => {});
  while (!group.isHeld) {
    // eslint-disable-next-line no-await-in-loop -- the clock advances step by step
    await clock.tickAsync(10);
  }
  Object.assign(board, { livePeers: new Set(['entry-1']) });
  const activity = board.getActivity('models');
  for (let request = 0; request < 2; request += 1) activity.noteStart(performance.now());
  return group;
}

test('an entry in a planned stop releases a group held by a frozen coordinator', () =>
  withClock(async (clock) => {
    const board = createBoard('entry-2');
    const group = await holdGroup(clock, board);
    board.isStopping = true;
    const coordinator = createCoordinatorOn(board, group);
    coordinator.start();
    await clock.tickAsync(1_500);
    assert.not.ok(group.isHeld);
    assert.equal(group.mixedMapPasses, []);
    coordinator.stop();
    group.stop();
  }));

test('an entry that has just started releases a group held by a frozen coordinator', () =>
  withClock(async (clock) => {
    const board = createBoard('entry-2');
    const group = await holdGroup(clock, board);
    await clock.tickAsync(800);
    const coordinator = createCoordinatorOn(board, group);
    coordinator.start();
    await clock.tickAsync(400);
    assert.not.ok(group.isHeld);
    assert.equal(group.mixedMapPasses, []);
    coordinator.stop();
    group.stop();
  }));

test('a released pass is not mistaken for a held one because of old reports', () =>
  withClock(async (clock) => {
    const board = createBoard('entry-2');
    const group = await holdGroup(clock, board);
    board.livePeers = new Set();
    group.reportLagMs = 200;
    const coordinator = createCoordinatorOn(board, group);
    coordinator.start();
    await clock.tickAsync(3_000);
    assert.not.ok(group.isHeld);
    assert.is(group.refusedOrders, 0);
    coordinator.stop();
    group.stop();
  }));

test('a held pass begins with one map if a rank has a newer map and lost orders arrive late', async () => {
  const newerVersion = 2_050;
  const map = [[[0], [1], [2], [3]]];
  const spacings = [15, 45, 70, 110];
  for (let run = 0; run < spacings.length * (SIZE - 1); run += 1) {
    const armed = run % (SIZE - 1);
    const everyMs = spacings[Math.floor(run / (SIZE - 1))];
    // eslint-disable-next-line no-await-in-loop -- one clock after the other
    await withClock(async (clock) => {
      const board = createBoard('entry-2');
      const group = await holdGroup(clock, board, armed);
      group.reportLagMs = 200;
      const { epoch, step } = group;
      const entries = board.upstreams.map((upstream) => upstream.entry);
      const sendOrder = (rank: number, command: Omit<RankCommand, 'epoch'>): void => {
        const entry = entries[rank];
        if (entry) group.order(entry, { ...command, epoch }).catch(() => {});
      };
      // The last rank gets a late map of another coordinator, and then late orders to arm arrive.
      sendOrder(SIZE - 1, { kind: RankOrderKind.Prepare, version: newerVersion, map });
      const late = setInterval(() => {
        [0, 1, 2].forEach((rank) =>
          sendOrder(rank, {
            kind: RankOrderKind.Arm,
            version: 1_025,
            step: group.heldStep ?? step,
          }),
        );
      }, everyMs);
      const coordinator = createCoordinatorOn(board, group);
      coordinator.start();
      await clock.tickAsync(6_000);
      clearInterval(late);
      assert.equal(
        group.mixedMapPasses,
        [],
        `${armed} ranks armed, late orders every ${everyMs} ms`,
      );
      assert.not.ok(group.isHeld, `${armed} ranks armed, late orders every ${everyMs} ms`);
      coordinator.stop();
      group.stop();
    });
  }
});

test('one of several entries that are all in a planned stop coordinates the maps', () =>
  withClock(async (clock) => {
    const group = createGroup(9);
    const { board, coordinator } = createCoordinator('entry-1', group);
    board.isStopping = true;
    board.livePeers = new Set(['entry-2']);
    board.stoppingPeers = new Set(['entry-2']);
    coordinator.start();
    const timer = setInterval(() => {
      [5, 0, 0, 0, 5].forEach((count, expert) => {
        group.counts[expert] = (group.counts[expert] ?? 0) + count * 100;
      });
    }, 100);
    await clock.tickAsync(4_000);
    assert.ok((group.versions[group.versions.length - 1] ?? 0) > 0, `${group.versions}`);
    const { reportReads: reports } = group;
    board.stoppingPeers = new Set();
    await clock.tickAsync(4_000);
    assert.ok(group.reportReads - reports <= SIZE, 'the entry that is not stopping coordinates');
    clearInterval(timer);
    coordinator.stop();
    group.stop();
  }));

test('a coordinator switches to a better map within 3 s of a shift in demand', () =>
  withClock(async (clock) => {
    const group = createGroup(5);
    const { coordinator } = createCoordinator('entry-1', group);
    coordinator.start();
    const demand = [1, 1, 1, 1, 1, 1, 1, 1];
    const timer = setInterval(() => {
      demand.forEach((count, expert) => {
        group.counts[expert] = (group.counts[expert] ?? 0) + count * 100;
      });
    }, 100);
    await clock.tickAsync(8_000);
    const { length } = group.versions;
    // From now on only experts 0 and 4 are chosen, which the initial map has on one rank.
    demand.splice(0, 8, 5, 0, 0, 0, 5, 0, 0, 0);
    await clock.tickAsync(3_000);
    assert.ok(group.versions.length > length, 'a new map is in force');
    assert.equal(group.mixedMapPasses, []);
    clearInterval(timer);
    coordinator.stop();
    group.stop();
  }));

test('only one report at a time is read of a broken group until it is open again', () =>
  withClock(async (clock) => {
    const group = createGroup(5);
    const { coordinator } = createCoordinator('entry-1', group);
    coordinator.start();
    await clock.tickAsync(4_000);
    group.isOpen = false;
    await clock.tickAsync(3_000);
    const readsBefore = group.reportReads;
    await clock.tickAsync(2_000);
    assert.ok(
      group.reportReads - readsBefore <= 2_000 / 100,
      `${group.reportReads - readsBefore} reports`,
    );
    group.reform();
    await clock.tickAsync(300);
    assert.ok(group.reportReads - readsBefore > SIZE);
    coordinator.stop();
    group.stop();
  }));

test('counts are read at once when passes become slower', () =>
  withClock(async (clock) => {
    const group = createGroup(4);
    const { board, coordinator } = createCoordinator('entry-1', group);
    const timer = setInterval(() => {
      group.counts.forEach((count, expert) => {
        group.counts[expert] = count + 100;
      });
    }, 100);
    coordinator.start();
    await clock.tickAsync(10_000);
    const activity = board.getActivity('models');
    Array.from({ length: 200 }, () => activity.notePause(75));
    await clock.tickAsync(1_000);
    Array.from({ length: 40 }, () => activity.notePause(140));
    const readsBefore = group.countReads;
    await clock.tickAsync(600);
    // Two ranks are read to start new samples, and read again to form the first of them.
    assert.is(group.countReads - readsBefore, 4);
    clearInterval(timer);
    coordinator.stop();
    group.stop();
  }));

test('counts of an idle group are rarely read', () =>
  withClock(async (clock) => {
    const group = createGroup(4);
    const { board, coordinator } = createCoordinator('entry-1', group);
    board.upstreams.forEach((upstream) => board.addInFlight(upstream, -1));
    coordinator.start();
    await clock.tickAsync(10_000);
    assert.ok(group.countReads > 0 && group.countReads <= 10, `${group.countReads} in 10 s`);
    coordinator.stop();
    group.stop();
  }));

test('a switch that ranks refuse is soon tried again', () =>
  withClock(async (clock) => {
    const group = createGroup(8);
    const { coordinator } = createCoordinator('entry-1', group);
    coordinator.start();
    const timer = setInterval(() => {
      [5, 0, 0, 0, 5].forEach((count, expert) => {
        group.counts[expert] = (group.counts[expert] ?? 0) + count * 100;
      });
    }, 100);
    group.mapsToRefuse = SIZE;
    while (group.mapsToRefuse > 0) {
      // eslint-disable-next-line no-await-in-loop -- the clock advances step by step
      await clock.tickAsync(50);
    }
    await clock.tickAsync(1_400);
    assert.ok((group.versions[group.versions.length - 1] ?? 0) > 0, `${group.versions}`);
    clearInterval(timer);
    coordinator.stop();
    group.stop();
  }));

test('a coordinator surveys a stalled group twice a second at most', () =>
  withClock(async (clock) => {
    const group = createGroup(6);
    const { board, coordinator } = createCoordinator('entry-1', group);
    coordinator.start();
    await clock.tickAsync(5_000);
    const activity = board.getActivity('models');
    Array.from({ length: SIZE }, () => activity.noteStart(performance.now()));
    await clock.tickAsync(1_000);
    const readsBefore = group.reportReads;
    await clock.tickAsync(2_000);
    const surveys = (group.reportReads - readsBefore) / SIZE;
    assert.ok(surveys > 2 && surveys <= 5, `${surveys} surveys in 2 s`);
    coordinator.stop();
    group.stop();
  }));

test('a group that re-forms right after a shift in demand gets a new map at once', () =>
  withClock(async (clock) => {
    const group = createGroup(5);
    const { coordinator } = createCoordinator('entry-1', group);
    coordinator.start();
    const demand = [5, 0, 0, 0, 5, 0, 0, 0];
    const timer = setInterval(() => {
      demand.forEach((count, expert) => {
        group.counts[expert] = (group.counts[expert] ?? 0) + count * 100;
      });
    }, 100);
    await clock.tickAsync(8_000);
    // The initial map has experts 1 and 5 on one rank.
    demand.splice(0, 8, 0, 5, 0, 0, 0, 5, 0, 0);
    await clock.tickAsync(1_000);
    group.reform();
    const { length } = group.versions;
    await clock.tickAsync(1_500);
    assert.ok((group.versions[group.versions.length - 1] ?? 0) > 0, `${length}: ${group.versions}`);
    assert.equal(group.mixedMapPasses, []);
    clearInterval(timer);
    coordinator.stop();
    group.stop();
  }));

/** Guards against a process that ends, or coordinates no more, by an exception in one round. */
test('a coordinator goes on after an exception at any order, and every pass has a single map', async () => {
  const orders = SIZE + 1 + SIZE + 1;
  for (let faulty = 1; faulty <= orders; faulty += 1) {
    // eslint-disable-next-line no-await-in-loop -- one clock after the other
    await withClock(async (clock) => {
      const group = createGroup(faulty);
      const { coordinator } = createCoordinator('entry-1', group);
      const order = group.order.bind(group);
      let orderCount = 0;
      Object.assign(group, {
        order: (...args: Parameters<typeof order>) => {
          orderCount += 1;
          if (orderCount === faulty) throw new Error('injected');
          return order(...args);
        },
      });
      const timer = setInterval(() => {
        [5, 0, 0, 0, 5].forEach((count, expert) => {
          group.counts[expert] = (group.counts[expert] ?? 0) + count * 100;
        });
      }, 100);
      coordinator.start();
      await clock.tickAsync(10_000);
      assert.ok(orderCount > faulty, `orders go on after order ${faulty}`);
      assert.ok((group.versions.at(-1) ?? 0) > 0, `a map is in force after order ${faulty}`);
      assert.equal(group.mixedMapPasses, [], `order ${faulty}`);
      assert.not.ok(group.isHeld, `held after order ${faulty}`);
      clearInterval(timer);
      coordinator.stop();
      group.stop();
    });
  }
});

test.run();
