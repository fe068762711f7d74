/**
 * Replays the worst load of the users' data sheets against admission, placement and the in-flight
 * limit.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { Outcome, RefusalReason } from '../../src/model/reason.js';

import { withClock, type TestClock } from './directFixture.js';
import { COSTLY_DECODE_COSTS } from './groupModel.js';
import { LoadRun, MEAN_EVENTS, RANKS, SLOTS } from './loadRun.js';

/** Expert load of the most loaded rank with experts placed round-robin. */
const ROUND_ROBIN_SKEW = 3.3;

/** Streams per second that the group can take with all slots used. */
function readCapacityPerS(passMs: number): number {
  return (RANKS * SLOTS * 1_000) / (MEAN_EVENTS * passMs);
}

test('below the capacity of a matching map nearly all streams are on time', () =>
  withClock(async (clock) => {
    const run = new LoadRun(clock);
    const perS = readCapacityPerS(90) * 0.75;
    const startMs = performance.now();
    await run.run(perS, 13_000);
    const onTime = run.readOnTime(startMs, startMs + 7_000);
    assert.ok(onTime > 0.95, `${onTime} are on time`);
  }));

test('at 1.3 times the capacity most of the streams that can be served are on time', () =>
  withClock(async (clock) => {
    const run = new LoadRun(clock);
    const perS = readCapacityPerS(90) * 1.3;
    const startMs = performance.now();
    await run.run(perS, 16_000);
    // About 1 of 1.3 can be served; the users' target for such loads is 0.68 of all.
    const onTime = run.readOnTime(startMs + 2_000, startMs + 12_000);
    assert.ok(onTime > 0.8, `${onTime} are on time`);
    // A retried stream of 70 events with 5 s left may exceed its own deadline.
    const refusals = run.arrivals.flatMap(({ caller: { refusal } }) => (refusal ? [refusal] : []));
    const early = refusals.filter(({ reason }) => reason !== RefusalReason.DeadlinePassed);
    assert.ok(early.every(({ outcome }) => outcome === Outcome.NotRun));
    assert.ok(
      refusals.length - early.length < refusals.length / 50,
      'hardly any exceeds its deadline',
    );
  }));

test('after an overload new streams are on time again within seconds', () =>
  withClock(async (clock) => {
    const run = new LoadRun(clock);
    await run.run(readCapacityPerS(90) * 1.5, 8_000);
    const calmMs = performance.now();
    await run.run(readCapacityPerS(90) * 0.6, 12_000);
    const onTime = run.readOnTime(calmMs + 5_000, calmMs + 9_000);
    assert.ok(onTime > 0.95, `${onTime} are on time`);
  }));

test('with experts placed round-robin fewer streams run at once, so that they stay on time', () =>
  withClock(async (clock) => {
    const run = new LoadRun(clock);
    run.group.skew = ROUND_ROBIN_SKEW;
    const startMs = performance.now();
    await run.run(readCapacityPerS(90), 12_000);
    const inFlight = run.entry.board.upstreams.map((upstream) => upstream.inFlight);
    assert.ok(Math.max(...inFlight) < SLOTS, `${inFlight.join(' ')} in flight`);
    assert.ok(run.readOnTime(startMs, startMs + 9_000) < 0.9, 'the load exceeds its capacity');
  }));

/** Consecutive expert loads of the most loaded rank, as demand shifts and maps are adapted. */
const SHIFTING_SKEWS: readonly number[] = [1.3, 2.4, 1.3, 2.4];

/** Expert load with a map that never matches the demand. */
const MISMATCHED_SKEWS: readonly number[] = [2.2];

/** Time between two shifts. */
const SHIFT_MS = 3_500;

/** Returns the part of a load that is on time, with or without configured engine costs. */
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
  { what: 'a load of two thirds with a map that never matches', perS: 28, skews: MISMATCHED_SKEWS },
  { what: 'a load of two thirds whose demand shifts', perS: 28, skews: SHIFTING_SKEWS },
  { what: 'a full load with a map that never matches', perS: 38, skews: MISMATCHED_SKEWS },
].forEach(({ what, perS, skews }) => {
  test(`${what} is more often on time with the pass model than with the latency limit`, async () => {
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
