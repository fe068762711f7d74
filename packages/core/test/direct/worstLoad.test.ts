/** The worst load of the users' sheets, replayed against admission, placement and the limit. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { Outcome, RefusalReason } from '../../src/model/reason.js';

import { withClock, type TestClock } from './directFixture.js';
import { COSTLY_DECODE_COSTS } from './groupModel.js';
import { LoadRun, MEAN_EVENTS, RANKS, SLOTS } from './loadRun.js';

/** Load of the most loaded rank with experts placed in turn. */
const ROUND_ROBIN_SKEW = 3.3;

/** Streams a second that the group bears with all places taken. */
function readCapacityPerS(passMs: number): number {
  return (RANKS * SLOTS * 1_000) / (MEAN_EVENTS * passMs);
}

test('below the capacity of a fitting map nearly all streams are on time', () =>
  withClock(async (clock) => {
    const run = new LoadRun(clock);
    const perS = readCapacityPerS(90) * 0.75;
    const startMs = performance.now();
    await run.run(perS, 13_000);
    const onTime = run.readOnTime(startMs, startMs + 7_000);
    assert.ok(onTime > 0.95, `${onTime} are on time`);
  }));

test('at 1.3 times the capacity most of what the engines do is on time', () =>
  withClock(async (clock) => {
    const run = new LoadRun(clock);
    const perS = readCapacityPerS(90) * 1.3;
    const startMs = performance.now();
    await run.run(perS, 16_000);
    // Of 1.3 about 1 can be served; the users' target for such days is 0.68 of all.
    const onTime = run.readOnTime(startMs + 2_000, startMs + 12_000);
    assert.ok(onTime > 0.8, `${onTime} are on time`);
    // A returned caller with 5 s left may have its stream of 70 events cut by its own time limit.
    const refusals = run.arrivals.flatMap(({ caller: { refusal } }) => (refusal ? [refusal] : []));
    const early = refusals.filter(({ reason }) => reason !== RefusalReason.DeadlinePassed);
    assert.ok(early.every(({ outcome }) => outcome === Outcome.NotRun));
    assert.ok(refusals.length - early.length < refusals.length / 50, 'hardly any is cut');
  }));

test('after an overload the next streams are on time again within seconds', () =>
  withClock(async (clock) => {
    const run = new LoadRun(clock);
    await run.run(readCapacityPerS(90) * 1.5, 8_000);
    const calmMs = performance.now();
    await run.run(readCapacityPerS(90) * 0.6, 12_000);
    const onTime = run.readOnTime(calmMs + 5_000, calmMs + 9_000);
    assert.ok(onTime > 0.95, `${onTime} are on time`);
  }));

test('with experts placed in turn fewer streams run at once, so that they stay on time', () =>
  withClock(async (clock) => {
    const run = new LoadRun(clock);
    run.group.skew = ROUND_ROBIN_SKEW;
    const startMs = performance.now();
    await run.run(readCapacityPerS(90), 12_000);
    const inFlight = run.entry.board.upstreams.map((upstream) => upstream.inFlight);
    assert.ok(Math.max(...inFlight) < SLOTS, `${inFlight.join(' ')} in flight`);
    assert.ok(run.readOnTime(startMs, startMs + 9_000) < 0.9, 'the load is too much for it');
  }));

/** Skews of the map in force, one after the other, as demand shifts and maps follow. */
const SHIFTING_SKEWS: readonly number[] = [1.3, 2.4, 1.3, 2.4];

/** A map that does not fit, all the while. */
const MISMATCHED_SKEWS: readonly number[] = [2.2];

/** Time between two shifts. */
const SHIFT_MS = 3_500;

/** Part of a load that is on time where the engines tell their costs, or do not. */
async function replayShifts(
  clock: TestClock,
  perS: number,
  skews: readonly number[],
  hasCosts: boolean,
): Promise<number> {
  const run = new LoadRun(clock, COSTLY_DECODE_COSTS, hasCosts);
  const startMs = performance.now();
  for (let shift = 0; shift < SHIFTING_SKEWS.length; shift += 1) {
    run.group.skew = skews[shift % skews.length] ?? 1;
    // eslint-disable-next-line no-await-in-loop -- one shift after the other
    await run.run(perS, SHIFT_MS);
  }
  const endMs = performance.now();
  await run.run(1, 6_000);
  return run.readOnTime(startMs, endMs);
}

[
  { what: 'a load of two thirds with a map that never fits', perS: 28, skews: MISMATCHED_SKEWS },
  { what: 'a load of two thirds whose demand shifts', perS: 28, skews: SHIFTING_SKEWS },
  { what: 'a full load with a map that never fits', perS: 38, skews: MISMATCHED_SKEWS },
].forEach(({ what, perS, skews }) => {
  test(`${what} is more often on time by a model of passes than by pauses alone`, async () => {
    const shares: number[] = [];
    await withClock(async (clock) => {
      shares.push(await replayShifts(clock, perS, skews, false));
    });
    await withClock(async (clock) => {
      shares.push(await replayShifts(clock, perS, skews, true));
    });
    const [byPauses = 0, byModel = 0] = shares;
    assert.ok(byModel > byPauses + 0.05, `${byPauses} by pauses, ${byModel} by the model`);
  });
});

test.run();
