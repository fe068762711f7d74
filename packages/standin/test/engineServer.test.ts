import { request, type ClientRequest } from 'node:http';

import { PREFIX_BLOCK_CHARS, hashPrefixes } from '@radishbay/core/model/prefixHash.js';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { formatText } from '../src/engine/completionText.js';
import { EngineServer } from '../src/engine/engineServer.js';

import { getJson, postJson, send } from './httpClient.js';

interface Context {
  engine: EngineServer;
  baseUrl: string;
}

const QUICK = { stepMs: 1, stepPerSequenceMs: 0, prefillPerTokenMs: 0, reportLagMs: 0 };
const test = suite<Context>('EngineServer');

async function startEngine(context: Context, options: Record<string, unknown>): Promise<void> {
  context.engine = new EngineServer({ ...QUICK, ...options });
  context.baseUrl = `http://127.0.0.1:${await context.engine.start(0)}`;
}

/** Runs the event loop until the engine has the given number of requests in flight. */
async function waitForInFlight(context: Context, count: number): Promise<void> {
  while (context.engine.model.inFlight !== count) {
    // eslint-disable-next-line no-await-in-loop -- waits for an event inside the same process
    await new Promise(setImmediate);
  }
}

/** Starts a long-running call without waiting for its response. */
function beginCall(context: Context, attemptId: string): ClientRequest {
  const outgoing = request(`${context.baseUrl}/v1/completions`, {
    method: 'POST',
    headers: { 'x-attempt-id': attemptId },
  });
  outgoing.on('error', () => {});
  outgoing.end(JSON.stringify({ prompt: attemptId, max_tokens: 50_000 }));
  return outgoing;
}

test.after.each(async (context) => {
  await context.engine.stop();
});

test('each caller gets the completion of its own prompt', async (context) => {
  await startEngine(context, { isWarmAtStart: true });
  const prompts = ['act one', 'act two'];
  const answers = await Promise.all(
    prompts.map((prompt) =>
      postJson(`${context.baseUrl}/v1/completions`, { prompt, max_tokens: 3 }),
    ),
  );
  const texts = answers.map(({ text }) => JSON.parse(text).choices[0].text);
  assert.equal(
    texts,
    prompts.map((prompt) => formatText(prompt, 3)),
  );
});

test('a streamed chat has one event per token and the end marker', async (context) => {
  await startEngine(context, { isWarmAtStart: true });
  const messages = [{ role: 'user', content: 'hello' }];
  const body = { messages, max_tokens: 4, stream: true };
  const { text } = await postJson(`${context.baseUrl}/v1/chat/completions`, body);
  const events = text.split('\n\n').filter((event) => event !== '');
  assert.is(events.length, 5);
  assert.is(events[4], 'data: [DONE]');
});

test('a stream resumed at any byte offset continues exactly there', async (context) => {
  await startEngine(context, { isWarmAtStart: true });
  const body = { prompt: 'p', max_tokens: 3, stream: true };
  const url = `${context.baseUrl}/v1/completions`;
  const whole = (await postJson(url, body)).text;
  const offsets = [1, 150, whole.length - 15, whole.length - 3];
  const rests = await Promise.all(
    offsets.map((offset) => postJson(url, body, { 'x-resume-offset': String(offset) })),
  );
  assert.equal(
    rests.map(({ text }) => text),
    offsets.map((offset) => whole.slice(offset)),
  );
});

test('a cold engine crashes above its limit and records the violation', async (context) => {
  await startEngine(context, { coldLimit: 1, restartMs: 60_000 });
  beginCall(context, 'a');
  await waitForInFlight(context, 1);
  const second = await send('POST', `${context.baseUrl}/v1/completions`, { prompt: 'b' });
  assert.ok(second.err);
  assert.is(context.engine.model.inFlight, 0);
  const record = (await getJson(`${context.baseUrl}/record`)) as { violations: unknown[] };
  assert.is(record.violations.length, 1);
});

test('a cold engine is warm after the configured number of completions', async (context) => {
  await startEngine(context, { warmAfter: 2 });
  const url = `${context.baseUrl}/v1/completions`;
  await postJson(url, { prompt: 'a' });
  assert.not(context.engine.model.isWarm);
  await postJson(url, { prompt: 'b' });
  assert.ok(context.engine.model.isWarm);
});

test('a closed connection cancels its request', async (context) => {
  await startEngine(context, { isWarmAtStart: true, stepMs: 50 });
  const call = beginCall(context, 'a');
  await waitForInFlight(context, 1);
  call.destroy();
  await waitForInFlight(context, 0);
  const { executions } = await getJson(`${context.baseUrl}/record`);
  assert.equal(executions, { a: { started: 1, completed: 0, cancelled: 1, failed: 0 } });
});

test('an engine that is restarting refuses with status 503', async (context) => {
  await startEngine(context, { restartMs: 60_000 });
  await postJson(`${context.baseUrl}/faults`, { kind: 'restart' });
  const answer = await postJson(`${context.baseUrl}/v1/completions`, { prompt: 'a' });
  assert.is(answer.status, 503);
});

test('a request declined by a fault is not executed', async (context) => {
  await startEngine(context, { isWarmAtStart: true });
  await postJson(`${context.baseUrl}/faults`, { kind: 'decline-next', count: 1 });
  const answer = await postJson(`${context.baseUrl}/v1/completions`, { prompt: 'a' });
  assert.is(answer.status, 503);
  assert.equal((await getJson(`${context.baseUrl}/record`)).executions, {});
});

test('a request failed by a fault is started and its connection breaks', async (context) => {
  await startEngine(context, { isWarmAtStart: true });
  await postJson(`${context.baseUrl}/faults`, { kind: 'fail-next', count: 1 });
  const headers = { 'x-attempt-id': 'a' };
  const body = { prompt: 'a', stream: true };
  const answer = await send('POST', `${context.baseUrl}/v1/completions`, body, headers);
  assert.ok(answer.err && answer.val.isSent);
  const { executions } = (await getJson(`${context.baseUrl}/record`)) as {
    executions: Record<string, { started: number }>;
  };
  assert.is(executions.a?.started, 1);
});

test('an engine that checks fencing refuses a lower fencing number', async (context) => {
  await startEngine(context, { isFencing: true });
  const order = { action: 'load-model', params: { model: 'm' } };
  const url = `${context.baseUrl}/orders`;
  await postJson(url, { ...order, orderId: 'new', fencingNumber: 2 });
  const late = await postJson(url, { ...order, orderId: 'old', fencingNumber: 1 });
  assert.is(late.status, 409);
});

test('an engine that ignores fencing accepts a lower fencing number', async (context) => {
  await startEngine(context, {});
  const order = { action: 'load-model', params: { model: 'm' } };
  const url = `${context.baseUrl}/orders`;
  await postJson(url, { ...order, orderId: 'new', fencingNumber: 2 });
  const late = await postJson(url, { ...order, orderId: 'old', fencingNumber: 1 });
  assert.is(late.status, 200);
});

test('a repeated order has one effect and gets the same reply', async (context) => {
  await startEngine(context, {});
  const url = `${context.baseUrl}/orders`;
  const order = { orderId: 'o', action: 'load-adapter', params: { adapter: 'x' } };
  const first = await postJson(url, order);
  await postJson(url, { orderId: 'p', action: 'unload-adapter', params: { adapter: 'x' } });
  assert.is((await postJson(url, order)).text, first.text);
  assert.is(context.engine.model.inventory.adapters.size, 0);
});

test('KV cache is exported only for requests in flight', async (context) => {
  await startEngine(context, { isWarmAtStart: true });
  const order = { orderId: 'o', action: 'export-kv', params: { attemptId: 'gone' } };
  assert.is((await postJson(`${context.baseUrl}/orders`, order)).status, 400);
});

test('cache events are numbered and contain the configured gap', async (context) => {
  await startEngine(context, { isWarmAtStart: true, cacheEventLagMs: 0, cacheGapEvery: 2 });
  const url = `${context.baseUrl}/v1/completions`;
  const prompts = ['a', 'b', 'c'].map((letter) => letter.repeat(PREFIX_BLOCK_CHARS));
  await postJson(url, { prompt: prompts[0] });
  await postJson(url, { prompt: prompts[1] });
  await postJson(url, { prompt: prompts[2] });
  const { events } = (await getJson(`${context.baseUrl}/cache-events?after=0`)) as {
    events: { sequence: number; blockHashes: string[] }[];
  };
  assert.equal(
    events.map(({ sequence, blockHashes }) => [sequence, ...blockHashes]),
    [
      [1, ...hashPrefixes(prompts[0] ?? '')],
      [3, ...hashPrefixes(prompts[2] ?? '')],
    ],
  );
});

test.run();
