/** Links that are cut or silent, and a process that sleeps; every wait is for a condition. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { runOperatorCommand } from '../../src/demo/operatorCommand.js';

import {
  assertHonest,
  countDomainRuns,
  LOAD_MS,
  PLAN,
  readUrls,
  runFaulted,
  startFleet,
  stopFleet,
  waitForReports,
  type FleetContext,
} from './faultedRun.js';
import { runLoad } from './fleetLoad.js';

const test = suite<FleetContext>('process links');

test.before.each(async (context) => {
  await startFleet(context);
});

test.after.each(async (context) => {
  await stopFleet(context);
});

test('links that go silent are replaced, and every request gets its true answer', async ({
  fleet,
}) => {
  const results = await runFaulted(fleet, readUrls(fleet), 5, () => {
    PLAN.upstreams.forEach(({ name }) => fleet.getRelay(name).silence());
  });
  await assertHonest(fleet, results);
});

test('links that are cut lose no answer', async ({ fleet }) => {
  const results = await runFaulted(fleet, readUrls(fleet), 6, () => {
    PLAN.upstreams.forEach(({ name }) => fleet.getRelay(name).cut());
  });
  await assertHonest(fleet, results);
});

test('an entry that slept through a drain begins no work in the drained domain', async ({
  fleet,
}) => {
  const urls = readUrls(fleet);
  const [sleeping] = urls;
  await waitForReports(fleet, 'entry-2');
  fleet.getProgram('entry-1').send('SIGSTOP');
  const words = ['order', 'drain', 'zone-a', '--wait', '--wait-ms', '30000'];
  const drain = await runOperatorCommand(fleet, words, ['entry-2']);
  assert.is(drain.code, 0, drain.lines.join(' | '));
  const before = await countDomainRuns(fleet);
  fleet.getProgram('entry-1').send('SIGCONT');
  const results = await runLoad({
    fleet,
    baseUrls: [sleeping ?? ''],
    durationMs: LOAD_MS / 3,
    seed: 7,
  });
  assert.is(await countDomainRuns(fleet), before);
  await assertHonest(fleet, results);
});

test.run();
