/** The worst load of the users' sheets, replayed against admission, placement and the limit. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { Outcome, RefusalReason } from '../../src/model/reason.js';

import { withClock } from './directFixture.js';
import { LoadRun, MEAN_EVENTS, RANKS, SLOTS } from './loadRun.js';

/** Load of the most loaded rank with experts placed in turn. */
const FIRST_SKEW = 3.3;

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
    run.group.skew = FIRST_SKEW;
    const startMs = performance.now();
    await run.run(readCapacityPerS(90), 12_000);
    const inFlight = run.entry.board.upstreams.map((upstream) => upstream.inFlight);
    assert.ok(Math.max(...inFlight) < SLOTS, `${inFlight.join(' ')} in flight`);
    assert.ok(run.readOnTime(startMs, startMs + 9_000) < 0.9, 'the load is too much for it');
  }));

test.run();
