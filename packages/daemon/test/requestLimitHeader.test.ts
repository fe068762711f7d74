import http from 'node:http';
import type { AddressInfo } from 'node:net';

import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type { NamedLimit } from '@radishbay/core/model/namedLimit.js';

import { HttpRun } from '../src/upstream/httpRun.js';

/** Calls an upstream that answers with a status and headers; @returns the limits reported. */
async function callUpstream(
  status: number,
  headers: http.OutgoingHttpHeaders,
): Promise<readonly NamedLimit[]> {
  const server = http.createServer((_request, response) => {
    response.writeHead(status, headers).end('done');
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const limits: NamedLimit[] = [];
  await new Promise<void>((resolve) => {
    const call = {
      attemptId: 'a-1',
      method: 'POST',
      path: '/',
      headers: {},
      body: new Uint8Array(),
      priority: 1,
    };
    // eslint-disable-next-line no-new -- the call starts by its construction
    new HttpRun(new URL(`http://127.0.0.1:${port}/`), call, true, {
      onRequestLimit: (named) => limits.push(named),
      onHead: () => {},
      onData: () => {},
      onEnd: resolve,
      onFailure: () => resolve(),
      onFault: () => resolve(),
    });
  });
  server.close();
  return limits;
}

test('the request limit in an answer of an upstream is reported, also if it declines', async () => {
  const answered = await callUpstream(200, { 'x-request-limit': '1.5' });
  const declined = await callUpstream(503, { 'x-request-limit': '0' });
  const unlimited = await callUpstream(200, {});
  assert.equal(
    [...answered, ...declined, ...unlimited].map((named) => named.unwrap()),
    [1.5, 0, undefined],
  );
});

test('a request limit that is no number is reported as invalid', async () => {
  const [named] = await callUpstream(200, { 'x-request-limit': 'few' });
  assert.ok(named?.err);
});

test.run();
