import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { withClock } from '../directFixture.js';

import { SharesRun, type Excess, type SharesRunOptions, type Tally } from './sharesRun.js';

const WARM_UP_MS = 3_000;
const SPAN_MS = 10_000;

/**
 * Largest part of the others that an excess may make late: the peers learn of a waiting request
 * after 20 ms, and a slot that is freed before that can go to the workspace above its share.
 */
const LOSS_MAX = 0.1;

interface Replay {
  readonly workspaces: readonly Tally[];
  readonly all: Tally;
  readonly others: Tally;
  readonly large: Tally;
}

async function replay(options: SharesRunOptions): Promise<Replay> {
  const results: Replay[] = [];
  await withClock(async (clock) => {
    const run = new SharesRun(clock, options);
    const fromMs = performance.now() + WARM_UP_MS;
    const toMs = fromMs + SPAN_MS;
    await run.run(WARM_UP_MS + SPAN_MS + 3_000);
    run.stop();
    results.push({
      workspaces: run.readWorkspaces(fromMs, toMs),
      all: run.readOthers(undefined, fromMs, toMs),
      others: run.readOthers(options.excess?.workspace, fromMs, toMs),
      large: run.readLarge(fromMs, toMs),
    });
  });
  const [result] = results;
  if (!result) throw new Error('the replay did not end');
  return result;
}

/** Part of the others that are on time less with an excess than without it. */
async function measureLoss(excess: Excess, load: number, isGuarded: boolean): Promise<number> {
  const before = await replay({ load, isGuarded, excess: { ...excess, burst: 1, repeats: 0 } });
  const after = await replay({ load, isGuarded, excess });
  return before.others.onTime - after.others.onTime;
}

const BURSTS: readonly (readonly [string, Excess, number])[] = [
  ['a burst of five times of the largest workspace', { workspace: 0, burst: 5, repeats: 0 }, 0.7],
  ['such a burst at one entry', { workspace: 0, burst: 5, repeats: 0, entry: 0 }, 0.7],
  ['a burst whose refusals are repeated', { workspace: 1, burst: 5, repeats: 3 }, 0.7],
];

BURSTS.forEach(([name, excess, load]) => {
  test(`${name} costs the others next to nothing, and much without shares`, async () => {
    const guarded = await measureLoss(excess, load, true);
    const free = await measureLoss(excess, load, false);
    assert.ok(guarded < LOSS_MAX, `${guarded} less on time`);
    assert.ok(free > 1.5 * LOSS_MAX, `${free} without shares: the load still needs them`);
  });
});

test('refusals that are repeated at once gain no more than the share', async () => {
  const excess = { workspace: 0, burst: 1, repeats: 3 };
  const { workspaces, others } = await replay({ load: 1.2, isGuarded: true, excess });
  const served = workspaces[0]?.served ?? 1;
  assert.ok(served < others.served - 0.2, `${served} of the repeated, ${others.served} of others`);
});

[1.4, 6].forEach((load) => {
  test(`at ${load} times the capacity every workspace is served a quarter as often as all`, async () => {
    const { workspaces, all } = await replay({ load, isGuarded: true });
    workspaces.forEach(({ served }, at) =>
      assert.ok(served >= all.served / 4, `workspace ${at}: ${served} of ${all.served}`),
    );
  });
});

test('shares leave no capacity unused', async () => {
  const guarded = await replay({ load: 1.2, isGuarded: true });
  const free = await replay({ load: 1.2, isGuarded: false });
  assert.ok(
    guarded.all.onTime > free.all.onTime - 0.05,
    `on time ${guarded.all.onTime}, ${free.all.onTime} without shares`,
  );
});

test('a workspace of twice the weight gets the share that water-filling gives it', async () => {
  // Of a load of 1.46, the burst is 0.52. Water-filling meets 0.21 of it, and 0.28 at weight 2.
  const excess = { workspace: 3, burst: 8, repeats: 0 };
  const equal = await replay({ load: 1, isGuarded: true, excess });
  const heavier = await replay({ load: 1, isGuarded: true, excess, weights: [1, 1, 1, 2] });
  const served = [equal, heavier].map(({ workspaces }) => workspaces[3]?.served ?? 0);
  const expected = [0.21 / 0.52, 0.28 / 0.52];
  served.forEach((part, at) =>
    assert.ok(Math.abs(part - (expected[at] ?? 0)) < 0.05, `${part} of ${expected[at]}`),
  );
});

test('the largest tenth of the requests is served at least half as often as all', async () => {
  const large = { fraction: 0.1, factor: 4 };
  const result = await replay({ load: 1, isGuarded: true, large });
  assert.ok(result.large.served >= result.all.served / 2, `${result.large.served}`);
});

test('a workspace of large requests pays for the slots that they hold, and only once', async () => {
  // It wants 0.6 of the capacity, of which water-filling meets 0.25.
  const large = { fraction: 1, factor: 4, workspace: 1 };
  const { workspaces } = await replay({ load: 1, isGuarded: true, seed: 2, large });
  const served = workspaces[1]?.served ?? 0;
  assert.ok(Math.abs(served - 0.25 / 0.6) < 0.1, `${served} of the large ones`);
  workspaces.slice(2).forEach((each, at) => assert.ok(each.served > 0.75, `workspace ${at + 2}`));
});

const PRIORITIES = 3;

/** Requests of one priority of the given workspaces that are on time. */
function readOnTime(workspaces: readonly Tally[], priority: number): number {
  const ofPriority = workspaces.filter((_, at) => at % PRIORITIES === priority);
  const offered = ofPriority.reduce((sum, each) => sum + each.offered, 0);
  return ofPriority.reduce((sum, each) => sum + each.onTime * each.offered, 0) / offered;
}

test('slots that a workspace leaves to urgent requests are not taken by less urgent ones', async () => {
  const options = { load: 1.2, priorities: PRIORITIES };
  const guarded = await replay({ ...options, isGuarded: true });
  const free = await replay({ ...options, isGuarded: false });
  const [urgent, before] = [guarded, free].map(({ workspaces }) => readOnTime(workspaces, 0));
  assert.ok((urgent ?? 0) > (before ?? 1) - 0.05, `${urgent}, ${before} without shares`);
});

test('in a deep overload each priority is on time a quarter as often as all', async () => {
  const { workspaces, all } = await replay({ load: 3, priorities: PRIORITIES, isGuarded: true });
  [0, 1, 2].forEach((priority) => {
    const onTime = readOnTime(workspaces, priority);
    assert.ok(onTime > all.onTime / 4, `priority ${priority}: ${onTime} of ${all.onTime}`);
  });
});

test.run();
