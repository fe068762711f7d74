/** Completions with one beginning crash engines behind side processes, one after the other. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { wait } from '@radishbay/core/wait.js';

import { callHttp, readJson } from '../../src/fleet/httpCall.js';
import { SAMPLE_MODEL } from '../../src/fleet/fleetPlan.js';

import { PLAN, startFleet, stopFleet, type FleetContext } from './faultedRun.js';

const DEADLY_TEXT = 'the deadly beginning ';

/** Makes the beginning several times as long as a block of a prompt's prefix. */
const REPETITIONS = 40;

/** Crashes after which further requests are limited, once entries have had time to learn. */
const CRASH_LIMIT = 5;
const LEARN_MS = 3_000;
const REQUESTS_AFTER_LIMIT = 3;

/** Time between two requests; an engine is back after half a second. */
const GAP_MS = 300;

const REQUESTS_MAX = 30;
const LATER_REQUESTS = 10;

const test = suite<FleetContext>('crashing prompts behind side processes');

test.before.each(async (context) => {
  await startFleet(context);
});

test.after.each(async (context) => {
  await stopFleet(context);
});

function listEngineUrls({ fleet }: FleetContext): readonly string[] {
  const engines = PLAN.upstreams.filter(({ name }) => name.startsWith('assistant'));
  return engines.map(({ name }) => fleet.readEngineUrl(name));
}

/** Number of executions that a crash has ended. */
async function countCrashed(context: FleetContext): Promise<number> {
  const records = await Promise.all(
    listEngineUrls(context).map((url) => readJson({ url: `${url}/record` })),
  );
  const executions = records.flatMap((record) =>
    Object.values((record as { executions: Record<string, { failed: number }> }).executions),
  );
  return executions.reduce((sum, { failed }) => sum + failed, 0);
}

async function sendDeadly({ fleet }: FleetContext, at: number): Promise<void> {
  const entry = fleet.entries[at % fleet.entries.length];
  await callHttp({
    method: 'POST',
    url: `${entry?.callersUrl}/v1/completions`,
    headers: { authorization: 'Bearer choir-key-0001' },
    body: {
      model: SAMPLE_MODEL,
      prompt: `${DEADLY_TEXT.repeat(REPETITIONS)}${at}`,
      max_tokens: 4,
    },
  });
  await wait(GAP_MS);
}

test('completions with a beginning that crashes engines stop reaching them', async (context) => {
  await Promise.all(
    listEngineUrls(context).map((url) =>
      callHttp({
        method: 'POST',
        url: `${url}/faults`,
        body: { kind: 'crash-on-prompt', text: DEADLY_TEXT },
      }),
    ),
  );
  let crashed = 0;
  for (let at = 0; at < REQUESTS_MAX && crashed < CRASH_LIMIT; at += 1) {
    // eslint-disable-next-line no-await-in-loop -- requests follow each other
    await sendDeadly(context, at);
    // eslint-disable-next-line no-await-in-loop -- see above
    crashed = await countCrashed(context);
  }
  assert.ok(crashed > 0, 'requests with this beginning crash engines');
  await wait(LEARN_MS);
  const before = await countCrashed(context);
  for (let at = 0; at < LATER_REQUESTS; at += 1) {
    // eslint-disable-next-line no-await-in-loop -- requests follow each other
    await sendDeadly(context, REQUESTS_MAX + at);
  }
  const more = (await countCrashed(context)) - before;
  assert.ok(more <= REQUESTS_AFTER_LIMIT, `${more} more crashed engines`);
});

test.run();
