/** A load during which the group of engines loses a rank for some seconds, as on recorded days. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { withClock } from './directFixture.js';
import { LoadRun, MEAN_EVENTS, RANKS, SLOTS } from './loadRun.js';

/** Time in which a rank is restarted and its group forms again. */
const OUTAGE_MS = 3_000;

/** Streams a second at which the group is three quarters busy with passes of 90 ms. */
const PER_S = (0.75 * RANKS * SLOTS * 1_000) / (MEAN_EVENTS * 90);

test('of those who ask around an outage most have their whole stream, be it late', () =>
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
    // Streams of more than 45 events have no time for an outage within their limit of 8 s.
    assert.ok(before > 0.8, `${before} of the interrupted are served`);
    // Three seconds of work are lost, and what is free in the next five makes up for half of that.
    assert.ok(during > 0.6, `${during} of those who asked meanwhile are served`);
  }));

test.run();
