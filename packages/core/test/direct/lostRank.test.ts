/**
 * Replays a load during which the group of engines loses a rank for several seconds, as in recorded
 * loads.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { withClock } from './directFixture.js';
import { LoadRun, MEAN_EVENTS, RANKS, SLOTS } from './loadRun.js';

/** Time in which a rank is restarted and its group forms again. */
const OUTAGE_MS = 3_000;

/** Streams per second that use three quarters of the group with passes of 90 ms. */
const PER_S = (0.75 * RANKS * SLOTS * 1_000) / (MEAN_EVENTS * 90);

test('most streams requested around an outage are completed, even if late', () =>
  withClock(async (clock) => {
    const run = new LoadRun(clock);
    await run.run(PER_S, 4_000);
    const brokenMs = performance.now();
    run.group.loseRank();
    await run.run(PER_S, OUTAGE_MS);
    run.group.restoreRank();
    await run.run(PER_S, 9_000);
    const before = run.readServed(brokenMs - 1_500, brokenMs);
    const during = run.readServed(brokenMs, brokenMs + OUTAGE_MS);
    // Streams of more than 45 events cannot be completed within their timeout of 8 s after an
    // outage.
    assert.ok(before > 0.8, `${before} of the interrupted streams are completed`);
    // Three seconds of work are lost; the spare capacity of the next five makes up for half of it.
    assert.ok(during > 0.6, `${during} of the streams requested meanwhile are completed`);
  }));

test.run();
