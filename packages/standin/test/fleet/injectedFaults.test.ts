/** Errors of a side process while it reads the response to one request. */
import type net from 'node:net';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { wait } from '@radishbay/core/wait.js';

import { FAULT_FLAGS, READ_FAULT_HEADER } from '../../src/faults/injectedFault.js';
import { Fleet } from '../../src/fleet/fleet.js';
import { planSampleFleet } from '../../src/fleet/fleetPlan.js';
import { callHttp } from '../../src/fleet/httpCall.js';
import { RawServer } from '../../src/http/rawServer.js';

/** The only upstream of its pool. */
const UPSTREAM = 'exchange-a1';

/** More than the attempts that the side process admits at once. */
const FAULT_COUNT = 40;

const HEADERS = { authorization: 'Bearer choir-key-0001' };

const SOUND = 'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n';

/** Time in which the end of a process is seen. */
const SETTLE_MS = 50;

/** A service that answers each request with the same head. */
class Service extends RawServer {
  head = SOUND;

  /** Time until the answer to a request with a marked body. */
  slowMs = 200;

  protected override accept(socket: net.Socket): void {
    socket.once('data', async (data) => {
      const { head } = this;
      if (data.includes('slow')) {
        await wait(this.slowMs);
        socket.end(`${SOUND}\r\nslow`);
      } else socket.end(`${head}\r\nnote`);
    });
  }
}

interface Context {
  service: Service;
  fleet: Fleet;
}

const test = suite<Context>('faults of a side process');

test.before(async (context) => {
  context.service = new Service();
  await context.service.start();
  const plan = planSampleFleet(1, 1);
  context.fleet = await Fleet.start({
    plan: { ...plan, upstreams: plan.upstreams.filter(({ name }) => name === UPSTREAM) },
    engineUrls: new Map([[UPSTREAM, `http://127.0.0.1:${context.service.port}`]]),
    daemonFlags: FAULT_FLAGS,
  });
});

test.after(async ({ service, fleet }) => {
  await fleet.stop();
  await service.stop();
});

function swap(fleet: Fleet, note: string) {
  const url = `${fleet.entries[0]?.callersUrl}/swaps`;
  return callHttp({ method: 'POST', url, headers: HEADERS, body: { note } });
}

/** Guards against a process that ends by one response, and against places that it keeps. */
test('responses that cannot be read fail their own requests only', async ({ service, fleet }) => {
  const slow = swap(fleet, 'slow');
  await wait(SETTLE_MS);
  Object.assign(service, { head: `${SOUND}${READ_FAULT_HEADER}: 1\r\n` });
  for (let sent = 0; sent < FAULT_COUNT; sent += 1) {
    // eslint-disable-next-line no-await-in-loop -- requests are sent in sequence
    const answer = (await swap(fleet, 'fast')).unwrap();
    assert.is(answer.status, 502);
    assert.match(answer.text, /"outcome":"unknown"/u);
  }
  assert.is((await slow).unwrap().text, 'slow');
  const side = fleet.getProgram(`side-${UPSTREAM}`);
  assert.is(await Promise.race([side.waitForEnd(), wait(SETTLE_MS)]), undefined);
  assert.ok(side.lines.some((line) => line.includes('Internal error, the process goes on.')));
  Object.assign(service, { head: SOUND });
  assert.is((await swap(fleet, 'fast')).unwrap().status, 200);
});

test.run();
