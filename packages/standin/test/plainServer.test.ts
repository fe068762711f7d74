import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { PlainServer } from '../src/plain/plainServer.js';

import { getJson, postJson, send } from './httpClient.js';

interface Context {
  server: PlainServer;
  baseUrl: string;
}

const HEADERS = { 'x-attempt-id': 'a1' };
const SWAP = { requestId: 'r1' };
const test = suite<Context>('PlainServer');

test.before.each(async (context) => {
  context.server = new PlainServer();
  context.baseUrl = `http://127.0.0.1:${await context.server.start(0)}`;
});

test.after.each(async (context) => {
  await context.server.stop();
});

test('each execution is counted by attempt and by request', async ({ baseUrl }) => {
  await postJson(`${baseUrl}/swaps`, SWAP, HEADERS);
  await postJson(`${baseUrl}/swaps`, SWAP, HEADERS);
  const record = await getJson(`${baseUrl}/record`);
  assert.equal([record.byAttempt, record.byRequest], [{ a1: 2 }, { r1: 2 }]);
});

test('an answer is lost only after the effect', async ({ baseUrl }) => {
  await postJson(`${baseUrl}/faults`, { kind: 'answer-lost', count: 1 });
  const answer = await send('POST', `${baseUrl}/swaps`, SWAP, HEADERS);
  assert.ok(answer.err && answer.val.isSent);
  assert.equal((await getJson(`${baseUrl}/record`)).byAttempt, { a1: 1 });
});

test('a refusal has no effect', async ({ baseUrl }) => {
  await postJson(`${baseUrl}/faults`, { kind: 'refuse', count: 1 });
  const answer = await postJson(`${baseUrl}/swaps`, SWAP, HEADERS);
  assert.is(answer.status, 503);
  assert.equal((await getJson(`${baseUrl}/record`)).byAttempt, {});
});

test('a service that stops by a fault accepts no more connections', async ({ baseUrl }) => {
  await send('POST', `${baseUrl}/faults`, { kind: 'die' });
  const answer = await send('GET', `${baseUrl}/sets`);
  assert.ok(answer.err && !answer.val.isSent);
});

test.run();
