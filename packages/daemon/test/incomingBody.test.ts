import { EventEmitter } from 'node:events';
import type http from 'node:http';
import { PassThrough } from 'node:stream';

import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { Awaited, MemoryAccount } from '@radishbay/core/memory/memoryAccount.js';
import { MemoryBudget } from '@radishbay/core/memory/memoryBudget.js';
import { wait } from '@radishbay/core/wait.js';

import { HttpCaller } from '../src/callers/httpCaller.js';
import { IncomingBody } from '../src/direct/incomingBody.js';

const BUFFER_BYTES = 64 * 1024;
const LIMIT_BYTES = 10 * 1024 * 1024;
const CHUNK = Buffer.alloc(16 * 1024, 'x');

/** Time for which a body is held back. */
const HELD_MS = 100;

const budget = new MemoryBudget({
  limitBytes: { heap: Infinity, buffers: Infinity },
  getNowMs: () => 0,
});

/** Creates a message whose body is written by the test. */
function createMessage(headers: http.IncomingHttpHeaders) {
  const stream = new PassThrough();
  const message = Object.assign(stream, {
    headers,
    socket: { pause: () => stream.pause(), resume: () => stream.resume() },
  }) as unknown as http.IncomingMessage;
  const account = new MemoryAccount({ budget, expectedBytes: LIMIT_BYTES, onEvict: () => {} });
  return { stream, account, body: new IncomingBody(message, LIMIT_BYTES, account) };
}

/** Waits until pending stream events have been emitted. */
function flushEvents(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

async function writeChunks(stream: PassThrough, count: number): Promise<void> {
  for (let at = 0; at < count; at += 1) {
    stream.write(CHUNK);
    // eslint-disable-next-line no-await-in-loop -- chunks must arrive one at a time
    await flushEvents();
  }
}

/** Counts the bytes written to it; applies backpressure while not writable. */
class Sink {
  bytes = 0;

  isEnded = false;

  isWritable = true;

  readonly write = (data: Buffer): boolean => {
    this.bytes += data.length;
    return this.isWritable;
  };

  readonly end = (): void => {
    this.isEnded = true;
  };
}

test('a short body is ready once it is complete, and can be sent twice', async () => {
  const { stream, body } = createMessage({ 'transfer-encoding': 'chunked' });
  let isReady = false;
  body.onReady(() => {
    isReady = true;
  });
  await writeChunks(stream, 1);
  assert.not(isReady);
  assert.is(body.lengthBytes, undefined);
  stream.end();
  await flushEvents();
  assert.ok(isReady);
  assert.is(body.lengthBytes, CHUNK.length);
  const [first, second] = [new Sink(), new Sink()];
  body.sendTo(first).stop();
  body.sendTo(second);
  assert.is(first.bytes, CHUNK.length);
  assert.is(second.bytes, CHUNK.length);
  assert.ok(second.isEnded);
});

test('a long body is buffered up to a limit, and can be resent until more data is forwarded', async () => {
  const { stream, body } = createMessage({ 'content-length': String(20 * CHUNK.length) });
  await writeChunks(stream, 20);
  const [first, second] = [new Sink(), new Sink()];
  first.isWritable = false;
  body.sendTo(first).stop();
  assert.is(first.bytes, BUFFER_BYTES);
  assert.ok(body.isRepeatable);
  body.sendTo(second);
  await flushEvents();
  assert.not(body.isRepeatable);
});

test('time for which a body was held back does not count as idle once it is read on', async () => {
  const { account, body, stream } = createMessage({ 'content-length': String(20 * CHUNK.length) });
  await writeChunks(stream, 4);
  await wait(HELD_MS);
  body.sendTo(new Sink());
  assert.ok(account.readIdleMs(performance.now()) < HELD_MS / 2);
});

test('a connection is read on after a body that ended while it was held back', async () => {
  const { stream, body } = createMessage({ 'content-length': String(4 * CHUNK.length) });
  let isPaused = false;
  const setPaused = (isSet: boolean) => () => {
    isPaused = isSet;
  };
  // The message ends with what has been parsed already, although its connection is not read.
  Object.assign(stream, { socket: { pause: setPaused(true), resume: setPaused(false) } });
  stream.end(Buffer.alloc(4 * CHUNK.length));
  await flushEvents();
  assert.is(body.lengthBytes, 4 * CHUNK.length);
  assert.not(isPaused);
});

test('an answer that is not read stays so when the rest of the body arrives', async () => {
  const { account, stream } = createMessage({ 'content-length': String(CHUNK.length) });
  account.await(Awaited.Reader, performance.now());
  stream.end(CHUNK);
  await flushEvents();
  assert.is(account.awaited, Awaited.Reader);
});

test('the rest of a body is awaited again once the answer so far has been read', () => {
  const { account } = createMessage({ 'content-length': String(CHUNK.length) });
  const response = Object.assign(new EventEmitter(), {
    req: { complete: false },
    writableLength: 1,
    write: () => false,
  });
  const caller = new HttpCaller(response as unknown as http.ServerResponse, undefined, account);
  caller.onDrain(() => {});
  caller.writeData(CHUNK);
  assert.is(account.awaited, Awaited.Reader);
  response.emit('drain');
  assert.is(account.awaited, Awaited.Body);
});

test('backpressure from the sink pauses the caller until the transfer is resumed', async () => {
  const { stream, body } = createMessage({ 'content-length': String(20 * CHUNK.length) });
  await writeChunks(stream, 20);
  const sink = new Sink();
  sink.isWritable = false;
  const transfer = body.sendTo(sink);
  await flushEvents();
  assert.is(sink.bytes, BUFFER_BYTES);
  transfer.resume();
  await flushEvents();
  assert.is(sink.bytes, BUFFER_BYTES + CHUNK.length);
  sink.isWritable = true;
  stream.end();
  transfer.resume();
  await flushEvents();
  assert.is(sink.bytes, 20 * CHUNK.length);
  await flushEvents();
  assert.ok(sink.isEnded);
});

test.run();
