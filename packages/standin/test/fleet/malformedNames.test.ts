/** Upstreams behind side processes whose answers hold a malformed field name. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { Fleet } from '../../src/fleet/fleet.js';
import { planSampleFleet } from '../../src/fleet/fleetPlan.js';
import { callHttp } from '../../src/fleet/httpCall.js';
import { FixedServer } from '../../src/http/fixedServer.js';
import {
  listMalformedNames,
  MalformedField,
  writeAnswerWithName,
} from '../../src/http/malformedName.js';

/** The only upstream of its pool. */
const UPSTREAM = 'exchange-a1';

/** Flag that makes the parser of Node lenient for whoever does not state otherwise. */
const LENIENT_FLAGS = ['--insecure-http-parser'];

const HEADERS = { authorization: 'Bearer choir-key-0001' };

const STATUS_BAD_GATEWAY = 502;

interface Context {
  service: FixedServer;
  fleet: Fleet;
}

const test = suite<Context>('malformed field names behind side processes');

test.before(async (context) => {
  context.service = new FixedServer();
  await context.service.start();
  const plan = planSampleFleet(1, 1);
  context.fleet = await Fleet.start({
    plan: { ...plan, upstreams: plan.upstreams.filter(({ name }) => name === UPSTREAM) },
    engineUrls: new Map([[UPSTREAM, `http://127.0.0.1:${context.service.port}`]]),
    daemonFlags: LENIENT_FLAGS,
  });
});

test.after(async ({ service, fleet }) => {
  await fleet.stop();
  await service.stop();
});

/** Guards against a head that is passed on as the runtime's parser has understood it. */
Object.values(MalformedField).forEach((field) => {
  test(`a malformed ${field} is no answer`, async ({ service, fleet }) => {
    const url = `${fleet.entries[0]?.callersUrl}/swaps`;
    const accepted = await listMalformedNames(field).reduce<Promise<readonly string[]>>(
      async (before, { description, name }) => {
        const earlier = await before;
        Object.assign(service, { answer: writeAnswerWithName(field, name, '') });
        const answer = await callHttp({ method: 'POST', url, headers: HEADERS, body: {} });
        const status = answer.ok ? answer.val.status : undefined;
        return status === STATUS_BAD_GATEWAY ? earlier : [...earlier, `${description}: ${status}`];
      },
      Promise.resolve([]),
    );
    assert.equal(accepted, []);
  });
});

test.run();
