/** Exceptions of listeners, which concern the response at hand and nothing else. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { wait } from '@radishbay/core/wait.js';

import { sendCall } from '../src/httpCall.js';
import { ResponseReader, type ResponseEvents } from '../src/responseReader.js';

const FAULT = new Error('injected');

const CALL_TIMEOUT_MS = 5_000;

const POLL_MS = 5;

/** Path at which the server resets the connection in the middle of its response. */
const BROKEN_PATH = '/broken';

interface Context {
  server: http.Server;
  agent: http.Agent;
  port: number;
}

const test = suite<Context>('faults of listeners');

test.before.each(async (context) => {
  context.agent = new http.Agent({ keepAlive: true });
  context.server = http.createServer((request, response) => {
    if (request.url !== BROKEN_PATH) response.end('whole');
    else response.write('part', () => request.socket.resetAndDestroy());
  });
  await new Promise<void>((resolve) => {
    context.server.listen(0, '127.0.0.1', resolve);
  });
  context.port = (context.server.address() as AddressInfo).port;
});

test.after.each(({ server, agent }) => {
  agent.destroy();
  server.closeAllConnections();
  server.close();
});

type ListenerName = Exclude<keyof ResponseEvents, 'onFault'>;

function countConnections(server: http.Server): Promise<number> {
  return new Promise((resolve, reject) => {
    server.getConnections((error, count) => {
      if (error) reject(error);
      else resolve(count);
    });
  });
}

/** Reads a response with a listener that throws; @returns the names of all events, in order. */
async function readWithFault({ port, agent }: Context, faulty: ListenerName): Promise<string[]> {
  const events: string[] = [];
  const listen = (name: ListenerName) => () => {
    events.push(name);
    if (name === faulty) throw FAULT;
  };
  const path = faulty === 'onFailure' ? BROKEN_PATH : '/';
  const request = http.get({ host: '127.0.0.1', port, path, agent });
  await new Promise<void>((resolve) => {
    request.once('close', resolve);
    // eslint-disable-next-line no-new -- the response is read from its construction on
    new ResponseReader(request, {
      onHead: listen('onHead'),
      onData: listen('onData'),
      onEnd: listen('onEnd'),
      onFailure: listen('onFailure'),
      onFault: (error) => {
        assert.is(error, FAULT);
        events.push('onFault');
      },
    });
  });
  return events;
}

const EVENTS: Readonly<Record<ListenerName, readonly string[]>> = {
  onHead: ['onHead', 'onFault'],
  onData: ['onHead', 'onData', 'onFault'],
  onEnd: ['onHead', 'onData', 'onEnd', 'onFault'],
  onFailure: ['onHead', 'onData', 'onFailure', 'onFault'],
};

(Object.keys(EVENTS) as ListenerName[]).forEach((faulty) => {
  test(`a fault in ${faulty} is reported, and the connection is closed`, async (context) => {
    assert.equal(await readWithFault(context, faulty), EVENTS[faulty]);
    const endAtMs = performance.now() + CALL_TIMEOUT_MS;
    // eslint-disable-next-line no-await-in-loop -- polls until the connection has closed
    while ((await countConnections(context.server)) > 0 && performance.now() < endAtMs) {
      // eslint-disable-next-line no-await-in-loop -- see above
      await wait(POLL_MS);
    }
    assert.is(await countConnections(context.server), 0);
  });
});

test('a control call whose response cannot be read has failed', async ({ port }) => {
  const agent = new http.Agent();
  const call = sendCall({
    method: 'GET',
    url: new URL(`http://127.0.0.1:${port}/`),
    headers: {},
    body: undefined,
    timeoutMs: CALL_TIMEOUT_MS,
    // Stands for any fault in the code that reads a response.
    get responseLimitBytes(): number {
      return Symbol('no number') as unknown as number;
    },
    agent,
  });
  const answer = await call;
  assert.ok(answer.err);
  assert.match(answer.val.detail, /internal error/u);
});

test.run();
