import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { StragglerMitigation } from '../../src/groups/rankTracker.js';
import { StragglerDetector } from '../../src/groups/stragglerDetector.js';

const OPTIONS = {
  batchMs: 0.1,
  tokenMs: 0.01,
  slowAbove: 1.12,
  normalBelow: 1.05,
  raiseWindows: 2,
  lowerWindows: 4,
  leaveAbove: 1.8,
  smoothing: 0.5,
};

const RANKS = 8;

const SLOW_RANK = 2;

/** Adds windows in which one rank is slower by a factor and can have another load. */
function run(
  stragglers: StragglerDetector,
  windows: number,
  slowness: number,
  canOthersCarry = false,
  tokens = 1000,
): void {
  const timings = Array.from({ length: RANKS }, (_, rank) => {
    const own = rank === SLOW_RANK ? tokens : 1000;
    const factor = rank === SLOW_RANK ? slowness : 1;
    return { rank, batch: 100, tokens: own, computeMs: (10 + own * 0.01) * factor };
  });
  Array.from({ length: windows }).forEach(() => stragglers.addWindow(timings, canOthersCarry));
}

function mitigationOf(stragglers: StragglerDetector): StragglerMitigation | undefined {
  return stragglers.health[SLOW_RANK]?.mitigation;
}

test('a rank that is slow only because of its load is not a straggler', () => {
  const stragglers = new StragglerDetector(RANKS, OPTIONS);
  run(stragglers, 20, 1, true, 4000);
  assert.is(mitigationOf(stragglers), StragglerMitigation.None);
});

test('a slow rank gets fewer requests first', () => {
  const stragglers = new StragglerDetector(RANKS, OPTIONS);
  run(stragglers, 3, 1.5);
  assert.is(mitigationOf(stragglers), StragglerMitigation.MoveRequests);
  assert.ok((stragglers.health[SLOW_RANK]?.requestWeight ?? 1) < 0.8);
  assert.is(stragglers.health[SLOW_RANK]?.speed, 1);
});

test('a rank that stays slow also gets fewer tokens', () => {
  const stragglers = new StragglerDetector(RANKS, OPTIONS);
  run(stragglers, 6, 1.5);
  assert.is(mitigationOf(stragglers), StragglerMitigation.MoveExperts);
  assert.ok((stragglers.health[SLOW_RANK]?.speed ?? 1) < 0.8);
});

test('a group with a very slow rank leaves routing while the pool can spare it', () => {
  const stragglers = new StragglerDetector(RANKS, OPTIONS);
  run(stragglers, 12, 3, true);
  assert.ok(stragglers.isLeaveDue);
});

test('a group that the pool needs returns to routing', () => {
  const stragglers = new StragglerDetector(RANKS, OPTIONS);
  run(stragglers, 12, 3, true);
  run(stragglers, 1, 3, false);
  assert.not(stragglers.isLeaveDue);
});

test('intermittent slowness does not make the mitigation oscillate', () => {
  const stragglers = new StragglerDetector(RANKS, OPTIONS);
  run(stragglers, 6, 1.5);
  const mitigations = Array.from({ length: 20 }, (_, index) => {
    run(stragglers, 1, index % 2 === 0 ? 1 : 1.4);
    return mitigationOf(stragglers);
  });
  assert.is(new Set(mitigations).size, 1);
});

test('a recovered rank gets its experts and then its requests back', () => {
  const stragglers = new StragglerDetector(RANKS, OPTIONS);
  run(stragglers, 6, 1.5);
  run(stragglers, 8, 1);
  assert.is(mitigationOf(stragglers), StragglerMitigation.MoveRequests);
  run(stragglers, 4, 1);
  assert.is(mitigationOf(stragglers), StragglerMitigation.None);
});

test('a window without the timings of all ranks is ignored', () => {
  const stragglers = new StragglerDetector(RANKS, OPTIONS);
  const timing = { rank: SLOW_RANK, batch: 1, tokens: 1, computeMs: 99 };
  Array.from({ length: 9 }).forEach(() => stragglers.addWindow([timing], true));
  assert.is(stragglers.health[SLOW_RANK]?.slowness, 1);
});

test.run();
