/** Responses that are aborted after they have begun, as a client reads them. */
import http from 'node:http';
import net, { type AddressInfo } from 'node:net';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { Outcome, RefusalReason, type Refusal } from '@radishbay/core/model/reason.js';
import { AnswerFraming } from '@radishbay/core/ports/caller.js';
import { wait } from '@radishbay/core/wait.js';

import { discardBody } from '../src/callers/discardBody.js';
import { HttpCaller } from '../src/callers/httpCaller.js';

const TRIES = 20;

const UPSTREAM_FAILED: Refusal = {
  reason: RefusalReason.UpstreamFailed,
  outcome: Outcome.Unknown,
  retryAfterMs: 0,
  detail: 'the connection was reset',
};

/** An upload exceeds the limit while the reset is pending. */
const DISCARD_LIMIT_BYTES = 1_000;
const PIECE_BYTES = 800;
const PIECE_INTERVAL_MS = 3;

const CLOSE_TIMEOUT_MS = 2_000;

interface Context {
  server: http.Server;
  port: number;
  framing: AnswerFraming;
  /** Whether the response is whole; it is aborted otherwise. */
  isWhole: boolean;
}

const test = suite<Context>('aborted responses');

test.before.each(async (context) => {
  context.server = http.createServer((_message, response) => {
    const caller = new HttpCaller(response);
    caller.writeHead(200, {}, context.framing);
    caller.writeData(Buffer.from('part'));
    if (context.isWhole) caller.end();
    else setImmediate(() => caller.abort(UPSTREAM_FAILED));
  });
  await new Promise<void>((resolve) => {
    context.server.listen(0, '127.0.0.1', resolve);
  });
  context.port = (context.server.address() as AddressInfo).port;
});

test.after.each(({ server }) => {
  server.closeAllConnections();
  server.close();
});

/** Reads one response; @returns whether the client takes it for complete. */
function isComplete(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const request = http.get({ host: '127.0.0.1', port, agent: false }, (response) => {
      response.resume();
      response.on('error', () => {});
      response.on('close', () => resolve(response.complete));
    });
    request.on('error', () => resolve(false));
  });
}

/** Uploads piece by piece; @returns whether the client takes the response for complete. */
function isUploadComplete(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const options = { host: '127.0.0.1', port, agent: false, method: 'POST' };
    const request = http.request(options, (response) => {
      response.resume();
      response.on('error', () => {});
      response.on('close', () => resolve(response.complete));
    });
    const timer = setInterval(() => request.write('u'.repeat(PIECE_BYTES)), PIECE_INTERVAL_MS);
    request.on('close', () => clearInterval(timer));
    request.on('error', () => resolve(false));
    request.flushHeaders();
  });
}

async function countComplete({ port }: Context): Promise<number> {
  let count = 0;
  for (let at = 0; at < TRIES; at += 1) {
    // eslint-disable-next-line no-await-in-loop -- responses are read in sequence
    if (await isComplete(port)) count += 1;
  }
  return count;
}

/** Guards against part of a response that its caller takes for all of it. */
Object.values(AnswerFraming).forEach((framing) => {
  test(`a response that is aborted is not complete (${framing})`, async (context) => {
    Object.assign(context, { framing, isWhole: false });
    assert.is(await countComplete(context), 0);
  });

  test(`a response that is ended is complete (${framing})`, async (context) => {
    Object.assign(context, { framing, isWhole: true });
    assert.is(await countComplete(context), TRIES);
  });
});

/** Guards against a close in the usual way while the reset of an aborted response is pending. */
test('a response that is aborted during an upload is not complete', async (context) => {
  context.server.removeAllListeners('request');
  context.server.on('request', (message: http.IncomingMessage, response: http.ServerResponse) => {
    const caller = new HttpCaller(response);
    caller.writeHead(200, {}, AnswerFraming.UntilClose);
    caller.writeData(Buffer.from('part'));
    setImmediate(() => {
      discardBody(message, DISCARD_LIMIT_BYTES);
      caller.abort(UPSTREAM_FAILED);
    });
  });
  let count = 0;
  for (let at = 0; at < TRIES; at += 1) {
    // eslint-disable-next-line no-await-in-loop -- responses are read in sequence
    if (await isUploadComplete(context.port)) count += 1;
  }
  assert.is(count, 0);
});

/** Guards against an end that overtakes the reset where the connection is needed for another. */
test('a response that is aborted for lack of memory is reset at once', async (context) => {
  context.server.removeAllListeners('request');
  const isReset = new Promise<boolean>((resolve) => {
    context.server.on('request', (_message: http.IncomingMessage, response) => {
      const caller = new HttpCaller(response);
      caller.writeHead(200, {}, AnswerFraming.UntilClose);
      caller.writeData(Buffer.from('part'));
      caller.abort({ ...UPSTREAM_FAILED, reason: RefusalReason.MemoryShort });
      resolve(response.destroyed);
    });
  });
  await isComplete(context.port);
  assert.ok(await isReset);
});

/** Guards against a connection that stays open, and with it the process at its end. */
test('an aborted response closes the connection that its caller has just ended', async (context) => {
  context.server.removeAllListeners('request');
  const isClosed = new Promise<boolean>((resolve) => {
    context.server.on('request', ({ socket }: http.IncomingMessage, response) => {
      const caller = new HttpCaller(response);
      caller.writeHead(200, {});
      caller.writeData(Buffer.from('part'));
      socket.once('end', () => caller.abort(UPSTREAM_FAILED));
      socket.once('close', () => resolve(true));
    });
  });
  const client = net.connect({ port: context.port, host: '127.0.0.1' });
  client.on('error', () => {});
  client.once('data', () => client.end());
  client.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
  assert.ok(await Promise.race([isClosed, wait(CLOSE_TIMEOUT_MS)]));
});

test.run();
