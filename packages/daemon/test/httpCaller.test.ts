/** Responses that are aborted after they have begun, as a client reads them. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { AnswerFraming } from '@radishbay/core/ports/caller.js';

import { HttpCaller } from '../src/callers/httpCaller.js';

const TRIES = 20;

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
    else setImmediate(() => caller.abort());
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

test.run();
