/**
 * Replays requests of very unequal size against several entries and upstreams of unequal speed.
 *
 * Guards against a choice by the number of requests alone: without pace and work, the shares that
 * are on time were 0.83 (ranks of a group) and 0.55 (engines with passes of their own) or less.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { withClock } from './directFixture.js';
import { COSTLY_DECODE_COSTS } from './groupModel.js';
import { LoadRun } from './loadRun.js';
import type { UnevenLoad } from './unevenLoad.js';

const LOAD_MS = 10_000;
const SEEDS: readonly number[] = [1, 2, 3];
const SLOWDOWNS = { 'models-1': 2, 'models-2': 2, 'models-3': 4 };

interface Shares {
  readonly onTime: number;
  readonly served: number;
  readonly longestPauseMs: number;
}

async function replay(perS: number, load: Omit<UnevenLoad, 'seed'>): Promise<Shares> {
  const shares: Shares[] = [];
  for (let at = 0; at < SEEDS.length; at += 1) {
    const seed = SEEDS[at] ?? 0;
    // eslint-disable-next-line no-await-in-loop -- one replay after the other
    await withClock(async (clock) => {
      const run = new LoadRun(clock, COSTLY_DECODE_COSTS, true, { ...load, seed });
      const startMs = performance.now();
      await run.run(perS, LOAD_MS);
      const endMs = performance.now();
      await run.run(1, 6_000);
      shares.push({
        onTime: run.readOnTime(startMs, endMs),
        served: run.readServed(startMs, endMs),
        longestPauseMs: run.readLongestPauseMs(startMs, endMs),
      });
    });
  }
  const mean = (read: (each: Shares) => number) =>
    shares.reduce((sum, each) => sum + read(each), 0) / shares.length;
  return {
    onTime: mean(({ onTime }) => onTime),
    served: mean(({ served }) => served),
    longestPauseMs: mean(({ longestPauseMs }) => longestPauseMs),
  };
}

const SLOW_RANKS = {
  entryCount: 4,
  isLockStep: true,
  slowdowns: SLOWDOWNS,
  areSlowdownsReported: true,
};

test('metrics tell the error of predictions, the choices and the work left', () =>
  withClock(async (clock) => {
    const load = { ...SLOW_RANKS, isDeclared: true, seed: 1 };
    const run = new LoadRun(clock, COSTLY_DECODE_COSTS, true, load);
    await run.run(30, 4_000);
    const values = new Map(run.entry.metrics.list());
    const median = values.get('cost.error{pool=models,q=0.5}') ?? 0;
    assert.ok(median > 0.5 && median < 2, `median error ${median}`);
    const choices = run.entry.metrics.readCount('placement.choice{by=work,domain=own}');
    assert.ok(choices > 0, `${choices} in the own domain`);
    const [mean = 0, most = 0] = ['mean', 'most'].map((each) =>
      values.get(`upstream.work.${each}{pool=models}`),
    );
    assert.ok(mean > 0 && most >= mean, `${mean} and ${most} ms left`);
  }));

test('with slow ranks in a group, more callers are on time by work than by count', async () => {
  const byCount = await replay(35, { ...SLOW_RANKS, isDeclared: false });
  const byWork = await replay(35, { ...SLOW_RANKS, isDeclared: true });
  assert.ok(byWork.onTime > byCount.onTime + 0.02, `${byCount.onTime} and ${byWork.onTime}`);
  assert.ok(byWork.served > byCount.served - 0.01, `${byCount.served} and ${byWork.served}`);
  assert.ok(byWork.longestPauseMs < byCount.longestPauseMs);
});

test('with slow engines that nobody reports, most callers are on time', async () => {
  const load = { entryCount: 4, isLockStep: false, slowdowns: SLOWDOWNS };
  const shares = await replay(30, { ...load, areSlowdownsReported: false, isDeclared: true });
  assert.ok(shares.onTime > 0.7, `${shares.onTime} are on time`);
  assert.ok(shares.served > 0.93, `${shares.served} are served`);
});

test('on equal upstreams callers are no worse off by work than by count', async () => {
  const load = { entryCount: 4, isLockStep: false, slowdowns: {}, areSlowdownsReported: false };
  const byCount = await replay(35, { ...load, isDeclared: false });
  const byWork = await replay(35, { ...load, isDeclared: true });
  assert.ok(byWork.onTime > byCount.onTime - 0.03, `${byCount.onTime} and ${byWork.onTime}`);
  assert.ok(byWork.served > byCount.served - 0.02, `${byCount.served} and ${byWork.served}`);
});

test.run();
