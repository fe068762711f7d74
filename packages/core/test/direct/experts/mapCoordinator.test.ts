import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { RankOrderKind, type RankCommand } from '../../../src/direct/experts/rankCaller.js';
import type { FleetBoard } from '../../../src/direct/fleetBoard.js';
import { withClock, type TestClock } from '../directFixture.js';

import { SIZE, createBoard, createGiver, createGiverOf, createGroup } from './groupFixture.js';
import { PausedCaller } from './pausableCaller.js';
import type { RankGroup } from './rankGroup.js';
import { finish, switchMap } from './switchFixture.js';

/** Each rank holds two of eight experts of one layer. */
test('whatever order a giver is paused at, another one lets the group go on with one map', async () => {
  const orders = SIZE + 1 + SIZE + 1;
  for (let paused = 0; paused <= orders; paused += 1) {
    // eslint-disable-next-line no-await-in-loop -- one clock after the other
    await withClock(async (clock) => {
      const group = createGroup(paused + 1);
      const first = new PausedCaller(group, paused);
      const late = switchMap(first, createBoard('entry-1'), 1_025, 0);
      await clock.tickAsync(4_000);
      const { giver } = createGiver('entry-2', group);
      giver.start();
      await clock.tickAsync(8_000);
      assert.not.ok(group.isHeld, `paused at order ${paused}`);
      const { step } = group;
      first.resume();
      await clock.tickAsync(100);
      first.resume();
      await finish(clock, late);
      await clock.tickAsync(4_000);
      assert.ok(group.step > step, `passes go on, paused at order ${paused}`);
      assert.equal(group.broken, [], `paused at order ${paused}`);
      assert.not.ok(group.isHeld, `held after the pause at order ${paused}`);
      giver.stop();
      group.stop();
    });
  }
});

test('a group whose giver is lost while it holds a pass goes on within a second and a half', () =>
  withClock(async (clock) => {
    const group = createGroup(8);
    const lost = new PausedCaller(group, SIZE + 1 + 2);
    switchMap(lost, createBoard('entry-1'), 1_025, 0).catch(() => {});
    const { board, giver } = createGiver('entry-2', group);
    // It still hears the one that is lost, so it is not the giver itself.
    board.heardPeers = new Set(['entry-1']);
    giver.start();
    while (!group.isHeld) {
      // eslint-disable-next-line no-await-in-loop -- the clock advances step by step
      await clock.tickAsync(10);
    }
    const activity = board.readActivity('models');
    for (let request = 0; request < 6; request += 1) activity.noteStart(performance.now());
    activity.noteService(performance.now());
    await clock.tickAsync(600 + 1_500);
    assert.not.ok(group.isHeld);
    assert.equal(group.versions, [0, 1_025]);
    assert.equal(group.broken, []);
    giver.stop();
    group.stop();
  }));

/** A group that is held by a giver who is frozen, before two requests that have nothing. */
async function holdGroup(clock: TestClock, board: FleetBoard, armed = 2): Promise<RankGroup> {
  const group = createGroup(8);
  const frozen = new PausedCaller(group, SIZE + 1 + armed);
  switchMap(frozen, createBoard('entry-1'), 1_025, 0).catch(() => {});
  while (!group.isHeld) {
    // eslint-disable-next-line no-await-in-loop -- the clock advances step by step
    await clock.tickAsync(10);
  }
  Object.assign(board, { heardPeers: new Set(['entry-1']) });
  const activity = board.readActivity('models');
  for (let request = 0; request < 2; request += 1) activity.noteStart(performance.now());
  return group;
}

test('an entry in a planned stop lets a group go on whose giver is frozen', () =>
  withClock(async (clock) => {
    const board = createBoard('entry-2');
    const group = await holdGroup(clock, board);
    board.isStopping = true;
    const giver = createGiverOf(board, group);
    giver.start();
    await clock.tickAsync(1_500);
    assert.not.ok(group.isHeld);
    assert.equal(group.broken, []);
    giver.stop();
    group.stop();
  }));

test('an entry that has just started lets a group go on whose giver is frozen', () =>
  withClock(async (clock) => {
    const board = createBoard('entry-2');
    const group = await holdGroup(clock, board);
    await clock.tickAsync(800);
    const giver = createGiverOf(board, group);
    giver.start();
    await clock.tickAsync(400);
    assert.not.ok(group.isHeld);
    assert.equal(group.broken, []);
    giver.stop();
    group.stop();
  }));

test('a pass that was let go is not taken for a held one by reports of before', () =>
  withClock(async (clock) => {
    const board = createBoard('entry-2');
    const group = await holdGroup(clock, board);
    board.heardPeers = new Set();
    group.reportLagMs = 200;
    const giver = createGiverOf(board, group);
    giver.start();
    await clock.tickAsync(3_000);
    assert.not.ok(group.isHeld);
    assert.is(group.refusedOrders, 0);
    giver.stop();
    group.stop();
  }));

test('a held pass begins with one map where a rank has a newer one and lost orders come late', async () => {
  const newer = 2_050;
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
      const give = (rank: number, command: Omit<RankCommand, 'epoch'>): void => {
        const entry = entries[rank];
        if (entry) group.order(entry, { ...command, epoch }).catch(() => {});
      };
      // Another giver's map comes late at the last rank, and then the first one's orders to arm.
      give(SIZE - 1, { kind: RankOrderKind.Prepare, version: newer, map });
      const late = setInterval(() => {
        [0, 1, 2].forEach((rank) =>
          give(rank, { kind: RankOrderKind.Arm, version: 1_025, step: group.heldStep ?? step }),
        );
      }, everyMs);
      const giver = createGiverOf(board, group);
      giver.start();
      await clock.tickAsync(6_000);
      clearInterval(late);
      assert.equal(group.broken, [], `${armed} ranks armed, late orders each ${everyMs} ms`);
      assert.not.ok(group.isHeld, `${armed} ranks armed, late orders each ${everyMs} ms`);
      giver.stop();
      group.stop();
    });
  }
});

test('of entries that are all in a planned stop one gives the maps', () =>
  withClock(async (clock) => {
    const group = createGroup(9);
    const { board, giver } = createGiver('entry-1', group);
    board.isStopping = true;
    board.heardPeers = new Set(['entry-2']);
    board.stoppingPeers = new Set(['entry-2']);
    giver.start();
    const timer = setInterval(() => {
      [5, 0, 0, 0, 5].forEach((count, expert) => {
        group.counts[expert] = (group.counts[expert] ?? 0) + count * 100;
      });
    }, 100);
    await clock.tickAsync(4_000);
    assert.ok((group.versions[group.versions.length - 1] ?? 0) > 0, `${group.versions}`);
    const { reports } = group;
    board.stoppingPeers = new Set();
    await clock.tickAsync(4_000);
    assert.ok(group.reports - reports <= SIZE, 'the one that stays gives them');
    clearInterval(timer);
    giver.stop();
    group.stop();
  }));

test('a giver brings a better map in force within three seconds of a change in demand', () =>
  withClock(async (clock) => {
    const group = createGroup(5);
    const { giver } = createGiver('entry-1', group);
    giver.start();
    const wanted = [1, 1, 1, 1, 1, 1, 1, 1];
    const timer = setInterval(() => {
      wanted.forEach((count, expert) => {
        group.counts[expert] = (group.counts[expert] ?? 0) + count * 100;
      });
    }, 100);
    await clock.tickAsync(8_000);
    const { length } = group.versions;
    // From now on experts 0 and 4 are chosen together, and lie on one rank.
    wanted.splice(0, 8, 5, 0, 0, 0, 5, 0, 0, 0);
    await clock.tickAsync(3_000);
    assert.ok(group.versions.length > length, 'a new map is in force');
    assert.equal(group.broken, []);
    clearInterval(timer);
    giver.stop();
    group.stop();
  }));

test('a broken group is asked by one report at a time until it is open again', () =>
  withClock(async (clock) => {
    const group = createGroup(5);
    const { giver } = createGiver('entry-1', group);
    giver.start();
    await clock.tickAsync(4_000);
    group.isOpen = false;
    await clock.tickAsync(3_000);
    const before = group.reports;
    await clock.tickAsync(2_000);
    assert.ok(group.reports - before <= 2_000 / 100, `${group.reports - before} reports`);
    group.reform();
    await clock.tickAsync(300);
    assert.ok(group.reports - before > SIZE);
    giver.stop();
    group.stop();
  }));

test('choices are read at once when passes become slower', () =>
  withClock(async (clock) => {
    const group = createGroup(4);
    const { board, giver } = createGiver('entry-1', group);
    const timer = setInterval(() => {
      group.counts.forEach((count, expert) => {
        group.counts[expert] = count + 100;
      });
    }, 100);
    giver.start();
    await clock.tickAsync(10_000);
    const activity = board.readActivity('models');
    Array.from({ length: 200 }, () => activity.notePause(75));
    await clock.tickAsync(1_000);
    Array.from({ length: 40 }, () => activity.notePause(140));
    const before = group.countReads;
    await clock.tickAsync(600);
    // Two ranks where the new samples begin, and the same two for the first of them.
    assert.is(group.countReads - before, 4);
    clearInterval(timer);
    giver.stop();
    group.stop();
  }));

test('choices of a group without work are hardly read', () =>
  withClock(async (clock) => {
    const group = createGroup(4);
    const { board, giver } = createGiver('entry-1', group);
    board.upstreams.forEach((upstream) => board.addInFlight(upstream, -1));
    giver.start();
    await clock.tickAsync(10_000);
    assert.ok(group.countReads > 0 && group.countReads <= 10, `${group.countReads} in 10 s`);
    giver.stop();
    group.stop();
  }));

test('a map that ranks refuse is given again soon', () =>
  withClock(async (clock) => {
    const group = createGroup(8);
    const { giver } = createGiver('entry-1', group);
    giver.start();
    const timer = setInterval(() => {
      [5, 0, 0, 0, 5].forEach((count, expert) => {
        group.counts[expert] = (group.counts[expert] ?? 0) + count * 100;
      });
    }, 100);
    group.refusedMaps = SIZE;
    while (group.refusedMaps > 0) {
      // eslint-disable-next-line no-await-in-loop -- the clock advances step by step
      await clock.tickAsync(50);
    }
    await clock.tickAsync(1_400);
    assert.ok((group.versions[group.versions.length - 1] ?? 0) > 0, `${group.versions}`);
    clearInterval(timer);
    giver.stop();
    group.stop();
  }));

test('a giver reads all ranks of a silent group twice a second at most', () =>
  withClock(async (clock) => {
    const group = createGroup(6);
    const { board, giver } = createGiver('entry-1', group);
    giver.start();
    await clock.tickAsync(5_000);
    const activity = board.readActivity('models');
    Array.from({ length: SIZE }, () => activity.noteStart(performance.now()));
    await clock.tickAsync(1_000);
    const before = group.reports;
    await clock.tickAsync(2_000);
    const surveys = (group.reports - before) / SIZE;
    assert.ok(surveys > 2 && surveys <= 5, `${surveys} surveys in 2 s`);
    giver.stop();
    group.stop();
  }));

test('a group that forms anew right after a shift of demand is given a map at once', () =>
  withClock(async (clock) => {
    const group = createGroup(5);
    const { giver } = createGiver('entry-1', group);
    giver.start();
    const wanted = [5, 0, 0, 0, 5, 0, 0, 0];
    const timer = setInterval(() => {
      wanted.forEach((count, expert) => {
        group.counts[expert] = (group.counts[expert] ?? 0) + count * 100;
      });
    }, 100);
    await clock.tickAsync(8_000);
    // Experts 1 and 5 lie on one rank of the first map.
    wanted.splice(0, 8, 0, 5, 0, 0, 0, 5, 0, 0);
    await clock.tickAsync(1_000);
    group.reform();
    const { length } = group.versions;
    await clock.tickAsync(1_500);
    assert.ok((group.versions[group.versions.length - 1] ?? 0) > 0, `${length}: ${group.versions}`);
    assert.equal(group.broken, []);
    clearInterval(timer);
    giver.stop();
    group.stop();
  }));

test.run();
