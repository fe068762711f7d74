/** Upstreams behind side processes that send bytes which are no HTTP response. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { wait } from '@radishbay/core/wait.js';

import { Fleet } from '../../src/fleet/fleet.js';
import { planSampleFleet, SAMPLE_MODEL } from '../../src/fleet/fleetPlan.js';
import { callHttp } from '../../src/fleet/httpCall.js';
import { BrokenAnswer, writeBrokenAnswer } from '../../src/http/brokenAnswer.js';
import { FixedServer } from '../../src/http/fixedServer.js';

/** Tokens of a completion that lasts longer than a broken answer takes. */
const COMPLETION_TOKENS = 20;

/** The only upstream of its pool. */
const BROKEN_PLAIN = 'exchange-a1';

/** Time in which the end of a process is seen. */
const SETTLE_MS = 50;

/** Processes that read its answers. */
const DAEMONS = ['entry-1', `side-${BROKEN_PLAIN}`];

const HEADERS = { authorization: 'Bearer choir-key-0001' };

interface Context {
  service: FixedServer;
  fleet: Fleet;
}

const test = suite<Context>('broken answers behind side processes');

test.before(async (context) => {
  const service = new FixedServer();
  await service.start();
  context.service = service;
  const plan = planSampleFleet(1, 1);
  const upstreams = plan.upstreams.filter(({ name, isPlain }) => !isPlain || name === BROKEN_PLAIN);
  context.fleet = await Fleet.start({
    plan: { ...plan, upstreams },
    engineUrls: new Map([[BROKEN_PLAIN, `http://127.0.0.1:${service.port}`]]),
  });
});

test.after(async ({ service, fleet }) => {
  await fleet.stop();
  await service.stop();
});

/** Lists the daemons that have ended. */
async function listEnded(fleet: Fleet): Promise<readonly string[]> {
  const ends = await Promise.all(
    DAEMONS.map((name) => Promise.race([fleet.getProgram(name).waitForEnd(), wait(SETTLE_MS)])),
  );
  return DAEMONS.filter((_, at) => ends[at] !== undefined);
}

test.after.each(async ({ fleet }) => {
  await Promise.all((await listEnded(fleet)).map((name) => fleet.startDaemon(name)));
  await fleet.waitUntilReady();
});

/** Guards against a process that ends by an answer, and against a caller who takes it for one. */
Object.values(BrokenAnswer).forEach((kind) => {
  test(`an answer with ${kind} fails its own request only`, async ({ service, fleet }) => {
    const url = fleet.entries[0]?.callersUrl;
    Object.assign(service, { answer: writeBrokenAnswer(kind, 'x-own: 1\r\n') });
    const completion = callHttp({
      method: 'POST',
      url: `${url}/v1/completions`,
      headers: HEADERS,
      body: { model: SAMPLE_MODEL, prompt: 'sing', max_tokens: COMPLETION_TOKENS },
    });
    const swap = { method: 'POST', url: `${url}/swaps`, headers: HEADERS, body: {} };
    const answer = await callHttp(swap);
    assert.is(answer.ok && answer.val.status, 502);
    assert.match(answer.unwrap().text, /"outcome":"unknown"/u);
    assert.is((await completion).unwrap().status, 200);
    assert.equal(await listEnded(fleet), []);
  });
});

/** Guards against half an answer, or one with another's error in it, that looks complete. */
[
  ['POST', '/swaps'],
  ['GET', '/sets'],
].forEach(([method = '', path = '']) => {
  test(`an answer to ${method} that breaks off is not complete`, async ({ service, fleet }) => {
    const head = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
    Object.assign(service, { answer: Buffer.from(`${head}4\r\npart\r\n`) });
    const url = `${fleet.entries[0]?.callersUrl}${path}`;
    const answer = await callHttp({ method, url, headers: HEADERS });
    assert.ok(answer.err);
    assert.equal(await listEnded(fleet), []);
  });
});

test.run();
