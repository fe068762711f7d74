import http from 'node:http';
import net from 'node:net';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { RefusalReason } from '@radishbay/core/model/reason.js';
import type { CallerRequest } from '@radishbay/core/model/request.js';
import { CountingMetrics } from '@radishbay/core/ports/countingMetrics.js';
import { sendCall } from '@radishbay/objects/httpCall.js';

import { CallerServer } from '../src/callers/callerServer.js';
import { createRequestParser } from '../src/callers/requestParser.js';
import { BufferingRequestHandler } from '../src/callers/bufferingRequestHandler.js';

const BODY_LIMIT_BYTES = 512;
const HEADER_LIMIT_BYTES = 2_048;

interface Context {
  server: CallerServer;
  metrics: CountingMetrics;
  port: number;
  accepted: CallerRequest[];
}

const test = suite<Context>('CallerServer');

test.before.each(async (context) => {
  context.metrics = new CountingMetrics();
  context.accepted = [];
  context.server = new CallerServer({
    host: '127.0.0.1',
    port: 0,
    getLimits: () => ({
      headerBytes: HEADER_LIMIT_BYTES,
      bodyBytes: BODY_LIMIT_BYTES,
      headerTimeoutMs: 15_000,
      idleTimeoutMs: 5_000,
    }),
    getNowMs: () => Date.now(),
    connectionLimit: 10,
    metrics: context.metrics,
    requestHandler: new BufferingRequestHandler({
      parse: createRequestParser(),
      accept: (request, caller) => {
        context.accepted.push(request);
        caller.writeHead(200, { 'content-type': 'text/plain' });
        caller.writeData(request.body);
        caller.end();
      },
    }),
    isReady: () => context.accepted.length === 0,
  });
  context.port = (await context.server.start()).unwrap();
});

test.after.each(async (context) => {
  await context.server.stop();
});

async function post(context: Context, path: string, body: string, headers = {}) {
  const answer = await sendCall({
    method: 'POST',
    url: new URL(path, `http://127.0.0.1:${context.port}`),
    headers: { authorization: 'Bearer choir-key', ...headers },
    body,
    timeoutMs: 10_000,
    agent: false,
  });
  return answer.unwrap();
}

async function assertRefused(
  context: Context,
  answer: { status: number; text: string },
  status: number,
  reason: RefusalReason,
) {
  assert.is(answer.status, status);
  const problem = JSON.parse(answer.text) as { reason: string; outcome: string };
  assert.is(problem.reason, reason);
  assert.is(problem.outcome, 'not-run');
  assert.is(context.metrics.readCount(`refusal{reason=${reason}}`), 1);
  assert.is((await post(context, '/swaps', 'still served')).text, 'still served');
}

test('a completion request is parsed into model, stream flag and keys', async (context) => {
  const body = JSON.stringify({ model: 'score-1', prompt: 'ring', stream: true });
  const answer = await post(context, '/v1/completions', body, { 'idempotency-key': 'k-1' });
  assert.is(answer.text, body);
  const request = context.accepted[0];
  assert.is(request?.model, 'score-1');
  assert.is(request?.isStream, true);
  assert.is(request?.idempotencyKey, 'k-1');
  assert.is(request?.workspaceKey, 'choir-key');
  assert.is(request?.headers.authorization, undefined);
});

test('malformed JSON is refused, and the server keeps serving', async (context) => {
  const answer = await post(context, '/v1/completions', '{"prompt":');
  await assertRefused(context, answer, 400, RefusalReason.MalformedRequest);
});

test('a body over the limit is refused, and the server keeps serving', async (context) => {
  const answer = await post(context, '/swaps', 'x'.repeat(BODY_LIMIT_BYTES + 1));
  await assertRefused(context, answer, 413, RefusalReason.BodyTooLarge);
});

test('headers over the limit are refused, and the server keeps serving', async (context) => {
  const answer = await post(context, '/swaps', 'x', { 'x-long': 'y'.repeat(HEADER_LIMIT_BYTES) });
  await assertRefused(context, answer, 431, RefusalReason.HeadersTooLarge);
});

test('an invalid deadline is refused, and the server keeps serving', async (context) => {
  const answer = await post(context, '/swaps', 'x', { 'x-deadline-ms': 'soon' });
  await assertRefused(context, answer, 400, RefusalReason.BadDeadline);
});

test('bytes that are not HTTP are answered with a problem document', async (context) => {
  const text = await new Promise<string>((resolve) => {
    const socket = net.connect(context.port, '127.0.0.1');
    let received = '';
    socket.on('data', (data) => {
      received += data.toString();
    });
    socket.on('close', () => resolve(received));
    socket.write('nonsense\r\n\r\n');
  });
  assert.match(text, /^HTTP\/1.1 400 /);
  assert.match(text, /malformed-request/);
});

test('a caller that disconnects in the middle of a body leaves no request behind', async (context) => {
  await new Promise<void>((resolve) => {
    const request = http.request({
      port: context.port,
      method: 'POST',
      path: '/swaps',
      headers: { 'content-length': '100' },
    });
    request.on('error', () => resolve());
    request.write('half', () => request.destroy());
  });
  assert.is((await post(context, '/swaps', 'whole')).text, 'whole');
  assert.is(context.accepted.length, 1);
});

test('readiness depends on the entry, liveness does not', async (context) => {
  const read = async (path: string) =>
    (
      await sendCall({
        method: 'GET',
        url: new URL(path, `http://127.0.0.1:${context.port}`),
        headers: {},
        body: undefined,
        timeoutMs: 10_000,
        agent: false,
      })
    ).unwrap().status;
  assert.is(await read('/readyz'), 200);
  await post(context, '/swaps', 'x');
  assert.is(await read('/readyz'), 503);
  assert.is(await read('/healthz'), 200);
});

test.run();
