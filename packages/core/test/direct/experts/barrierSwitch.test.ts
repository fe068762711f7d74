import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { SwitchOutcome } from '../../../src/direct/experts/barrierSwitch.js';
import { Random } from '../../../src/ports/random.js';
import { withClock } from '../directFixture.js';

import { createBoard, createGroup } from './groupFixture.js';
import { finish, switchMap } from './switchFixture.js';

const SEEDS = Array.from({ length: 40 }, (_, at) => at + 1);

/** Each rank holds two of eight experts of one layer. */
test('a switch takes effect on all ranks at the same pass without stalling', () =>
  withClock(async (clock) => {
    const group = createGroup(1);
    const result = await finish(clock, switchMap(group, createBoard('entry-1'), 5, 0));
    await clock.tickAsync(2_000);
    assert.is(result?.outcome, SwitchOutcome.Done);
    assert.equal(group.versions, [0, 5]);
    assert.equal(group.mixedMapPasses, []);
    assert.is(group.heldPasses, 0);
    group.stop();
  }));

test('a switch finds a pass to hold in a group that has just become busy', () =>
  withClock(async (clock) => {
    const group = createGroup(1, 20);
    group.isBusy = false;
    group.reportLagMs = 200;
    const change = switchMap(group, createBoard('entry-1'), 5, 0);
    await clock.tickAsync(300);
    group.isBusy = true;
    const result = await finish(clock, change);
    assert.is(result?.outcome, SwitchOutcome.Done);
    group.stop();
  }));

test('no pass has two maps when orders are lost and executed seconds late', async () => {
  const done: number[] = [];
  for (let seed = 1; seed <= SEEDS.length; seed += 1) {
    // eslint-disable-next-line no-await-in-loop -- one clock after the other
    await withClock(async (clock) => {
      const group = createGroup(seed);
      group.lateFraction = 0.35;
      group.droppedFraction = 0.1;
      const board = createBoard('entry-1');
      for (let round = 1; round <= 4; round += 1) {
        // eslint-disable-next-line no-await-in-loop -- one switch after the other
        const result = await finish(clock, switchMap(group, board, round * 10, 0));
        if (result?.outcome === SwitchOutcome.Done) done.push(seed);
        group.isBusy = round % 2 === 0;
        // eslint-disable-next-line no-await-in-loop -- late orders are executed meanwhile
        await clock.tickAsync(1_500);
        group.isBusy = true;
      }
      await clock.tickAsync(15_000);
      assert.equal(group.mixedMapPasses, [], `seed ${seed}`);
      group.stop();
    });
  }
  assert.ok(done.length > SEEDS.length, `${done.length} switches completed`);
});

test('no pass has two maps when two coordinators switch at the same time', async () => {
  for (let seed = 1; seed <= SEEDS.length; seed += 1) {
    // eslint-disable-next-line no-await-in-loop -- one clock after the other
    await withClock(async (clock) => {
      const group = createGroup(seed);
      group.lateFraction = seed % 2 === 0 ? 0.3 : 0;
      const random = new Random(seed);
      const switches = [0, 1].map(async (at) => {
        const board = createBoard(`entry-${at}`);
        for (let round = 1; round <= 4; round += 1) {
          // eslint-disable-next-line no-await-in-loop -- one switch after the other
          await new Promise((resolve) => {
            setTimeout(resolve, random.next() * 700);
          });
          // eslint-disable-next-line no-await-in-loop -- see above
          await switchMap(group, board, round * 10 + at, at);
        }
      });
      await finish(clock, Promise.all(switches));
      await clock.tickAsync(15_000);
      assert.equal(group.mixedMapPasses, [], `seed ${seed}`);
      group.stop();
    });
  }
});

test('a switch fails without mixed maps or a held pass if the group re-forms during it', () =>
  withClock(async (clock) => {
    const group = createGroup(3);
    const work = switchMap(group, createBoard('entry-1'), 5, 0);
    await clock.tickAsync(200);
    group.reform();
    const result = await finish(clock, work);
    await clock.tickAsync(2_000);
    assert.is.not(result?.outcome, SwitchOutcome.Done);
    assert.equal(group.mixedMapPasses, []);
    assert.not.ok(group.isHeld);
    group.stop();
  }));

test('a switch of an idle group takes effect once requests arrive', () =>
  withClock(async (clock) => {
    const group = createGroup(4);
    group.isBusy = false;
    const result = await finish(clock, switchMap(group, createBoard('entry-1'), 5, 0));
    assert.is(result?.outcome, SwitchOutcome.Done);
    group.isBusy = true;
    await clock.tickAsync(2_000);
    assert.equal(group.versions, [0, 5]);
    assert.equal(group.mixedMapPasses, []);
    group.stop();
  }));

test.run();
