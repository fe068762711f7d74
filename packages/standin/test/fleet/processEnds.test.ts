/** Processes that are killed or stopped under load; every wait is for a condition. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { CallVerdict } from '../../src/caller/callResult.js';

import {
  assertHonest,
  listIncorrect,
  readUrls,
  runFaulted,
  startFleet,
  stopFleet,
  type FleetContext,
} from './faultedRun.js';

const test = suite<FleetContext>('process ends');

test.before.each(async (context) => {
  await startFleet(context);
});

test.after.each(async (context) => {
  await stopFleet(context);
});

test('an entry that is killed cuts its own answers only, and none passes for whole', async ({
  fleet,
}) => {
  const urls = readUrls(fleet);
  const results = await runFaulted(fleet, urls, 1, async () => {
    fleet.getProgram('entry-1').send('SIGKILL');
    urls.shift();
    await fleet.getProgram('entry-1').waitForEnd();
    await fleet.startDaemon('entry-1');
  });
  await assertHonest(
    fleet,
    results.filter(({ verdict }) => verdict !== CallVerdict.NotSent),
  );
  await fleet.waitUntilReady();
});

test('a side process that is killed leaves no swap run twice and no stream mixed', async ({
  fleet,
}) => {
  const results = await runFaulted(fleet, readUrls(fleet), 2, async () => {
    const side = fleet.getProgram('side-exchange-a1');
    side.send('SIGKILL');
    await side.waitForEnd();
    await fleet.startDaemon('side-exchange-a1');
  });
  await assertHonest(fleet, results);
});

test('a planned stop of an entry under load cuts no request', async ({ fleet }) => {
  const urls = readUrls(fleet);
  const results = await runFaulted(fleet, urls, 3, async () => {
    const entry = fleet.getProgram('entry-1');
    entry.send('SIGTERM');
    urls.shift();
    assert.is((await entry.waitForEnd()).code, 0);
  });
  await assertHonest(fleet, results);
  assert.equal(listIncorrect(results), []);
});

test('a planned stop of a side process under load cuts no request', async ({ fleet }) => {
  const results = await runFaulted(fleet, readUrls(fleet), 4, async () => {
    const side = fleet.getProgram('side-assistant-a1');
    side.send('SIGTERM');
    assert.is((await side.waitForEnd()).code, 0);
  });
  await assertHonest(fleet, results);
  assert.equal(listIncorrect(results), []);
});

test.run();
