/** Answers that never become a complete response. */
import { Agent } from 'node:http';
import net, { type AddressInfo } from 'node:net';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { wait } from '@radishbay/core/wait.js';

import { sendCall } from '../src/httpCall.js';

const TIMEOUT_MS = 80;

/** Timeout of calls that end by another cause, also on a busy machine. */
const LONG_TIMEOUT_MS = 5_000;

/** Time by which a call may end late on a busy machine. */
const TOLERANCE_MS = 700;

/** Interval between two pieces of an answer without end. */
const PIECE_INTERVAL_MS = 2;

/** Interval between two pieces of an answer that drips. */
const DRIP_INTERVAL_MS = 30;

const LIMIT_BYTES = 64 * 1024;

/** A start of an answer, sent once, and a piece that is then sent again and again. */
interface Form {
  readonly start: string;
  readonly piece: string;
  readonly intervalMs?: number;
  /** Whether the call ends by another cause than its timeout, without waiting for it. */
  readonly isEndedAtOnce?: boolean;
}

const FILLER = 'x'.repeat(16 * 1024);

const PROCESSING = 'HTTP/1.1 102 Processing\r\n\r\n';

const FORMS: Readonly<Record<string, Form>> = {
  'a complete 101, then silence': {
    start: 'HTTP/1.1 101 Switching\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n',
    piece: '',
    isEndedAtOnce: true,
  },
  'a complete 101, then endless bytes': {
    start: 'HTTP/1.1 101 Switching\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n',
    piece: FILLER,
    isEndedAtOnce: true,
  },
  'a 101 that names no protocol, then silence': {
    start: 'HTTP/1.1 101 Switching\r\n\r\n',
    piece: '',
    isEndedAtOnce: true,
  },
  'the head of a 101 without end': {
    start: 'HTTP/1.1 101 Switching\r\nconnection: upgrade\r\nupgrade: x\r\nx-long: ',
    piece: FILLER,
    isEndedAtOnce: true,
  },
  'half the head of a 101, then silence': { start: 'HTTP/1.1 101 Switching\r\nx-', piece: '' },
  'the head of a 101 in drips': {
    start: 'HTTP/1.1 101 Switching\r\nx-long: ',
    piece: 'x',
    intervalMs: DRIP_INTERVAL_MS,
  },
  'a 100 and silence': { start: 'HTTP/1.1 100 Continue\r\n\r\n', piece: '' },
  'a 103 and silence': { start: 'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n', piece: '' },
  'the head of a 102 without end': {
    start: 'HTTP/1.1 102 Processing\r\nx-long: ',
    piece: FILLER,
    isEndedAtOnce: true,
  },
  'half the head of a 102, then silence': { start: 'HTTP/1.1 102 Processing\r\nx-', piece: '' },
  'endless 102s': { start: '', piece: PROCESSING.repeat(256), isEndedAtOnce: true },
  'a 102 at intervals': { start: '', piece: PROCESSING, intervalMs: DRIP_INTERVAL_MS },
  'half a status line, then silence': { start: 'HTTP/1.1 1', piece: '' },
  'a declared length above the limit': {
    start: `HTTP/1.1 200 OK\r\ncontent-length: ${LIMIT_BYTES + 1}\r\n\r\n`,
    piece: '',
    isEndedAtOnce: true,
  },
  'a body without end': { start: 'HTTP/1.1 200 OK\r\n\r\n', piece: FILLER, isEndedAtOnce: true },
};

const KEPT_CALLS = 20;

/** More than the buffers of both ends of a connection hold. */
const UPLOAD = 'u'.repeat(2_000_000);

/** The reset can also arrive after the response has been read. */
const EARLY_TRIES = 20;

interface Context {
  server: net.Server;
  port: number;
  sockets: Set<net.Socket>;
  form: Form;
  /** Answers in place of {@link Context.form}. */
  handle: ((socket: net.Socket) => void) | undefined;
}

const test = suite<Context>('answers without end');

function answer(socket: net.Socket, { start, piece, intervalMs }: Form): void {
  socket.write(start);
  if (piece === '') return;
  const timer = setInterval(() => {
    if (!socket.writableNeedDrain) socket.write(piece);
  }, intervalMs ?? PIECE_INTERVAL_MS);
  socket.on('close', () => clearInterval(timer));
}

test.before.each(async (context) => {
  const sockets = new Set<net.Socket>();
  context.sockets = sockets;
  context.handle = undefined;
  context.server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => sockets.delete(socket));
    socket.once('data', () => {
      if (context.handle) context.handle(socket);
      else answer(socket, context.form);
    });
  });
  await new Promise<void>((resolve) => {
    context.server.listen(0, '127.0.0.1', resolve);
  });
  context.port = (context.server.address() as AddressInfo).port;
});

test.after.each(({ server, sockets }) => {
  sockets.forEach((socket) => socket.destroy());
  server.close();
});

/** Resolves when the server's connections have closed. */
async function waitForClose(sockets: ReadonlySet<net.Socket>): Promise<void> {
  await Promise.all(
    [...sockets].map(
      (socket) =>
        new Promise((resolve) => {
          socket.once('close', resolve);
        }),
    ),
  );
}

/** Guards against a control call that never ends, and so stops the loop that awaits it for good. */
Object.entries(FORMS).forEach(([name, form]) => {
  test(`a call ends within its timeout, and so does its connection (${name})`, async (context) => {
    Object.assign(context, { form });
    const timeoutMs = form.isEndedAtOnce ? LONG_TIMEOUT_MS : TIMEOUT_MS;
    const startedAtMs = performance.now();
    const result = await sendCall({
      method: 'GET',
      url: new URL(`http://127.0.0.1:${context.port}/report`),
      headers: {},
      body: undefined,
      timeoutMs,
      responseLimitBytes: LIMIT_BYTES,
      agent: false,
    });
    const tookMs = performance.now() - startedAtMs;
    assert.ok(result.err, 'no response counts as complete');
    assert.is(result.val.isTimeout, form.isEndedAtOnce !== true, result.val.detail);
    assert.ok(tookMs < timeoutMs + TOLERANCE_MS, `${tookMs} ms`);
    await waitForClose(context.sockets);
  });
});

/** Guards against listeners that add up for as long as a connection is kept. */
test('calls on a kept connection leave no listeners behind', async (context) => {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const counts: number[] = [];
  context.handle = (socket) => {
    const respond = () => socket.write('HTTP/1.1 204 None\r\n\r\n');
    socket.on('data', respond);
    respond();
  };
  for (let at = 0; at < KEPT_CALLS; at += 1) {
    // eslint-disable-next-line no-await-in-loop -- calls run in sequence
    const response = await sendCall({
      method: 'GET',
      url: new URL(`http://127.0.0.1:${context.port}/report`),
      headers: {},
      body: undefined,
      timeoutMs: LONG_TIMEOUT_MS,
      agent,
    });
    assert.is(response.unwrap().status, 204);
    // eslint-disable-next-line no-await-in-loop -- the agent takes the connection back first
    await wait(0);
    const socket = Object.values(agent.freeSockets).flat()[0];
    counts.push((socket?.listenerCount('end') ?? 0) + (socket?.listenerCount('connect') ?? 0));
  }
  agent.destroy();
  assert.is(context.sockets.size, 1);
  assert.is(counts.at(-1), counts[0]);
});

/** Guards against an order or a write that counts as done by part of an answer. */
test('a response that ends with its connection is whole unless the connection is reset', async (context) => {
  let isReset = false;
  context.handle = (socket) => {
    socket.pause();
    socket.write('HTTP/1.1 200 OK\r\n\r\npart');
    if (isReset) socket.resetAndDestroy();
    else socket.end();
  };
  const call = {
    method: 'POST',
    url: new URL(`http://127.0.0.1:${context.port}/order`),
    headers: {},
    body: UPLOAD,
    timeoutMs: LONG_TIMEOUT_MS,
    agent: false,
  } as const;
  for (let at = 0; at < EARLY_TRIES; at += 1) {
    isReset = false;
    // eslint-disable-next-line no-await-in-loop -- calls run in sequence
    assert.is((await sendCall(call)).unwrap().text, 'part');
    isReset = true;
    // eslint-disable-next-line no-await-in-loop -- see above
    const cutOff = await sendCall(call);
    assert.ok(cutOff.err && cutOff.val.isSent);
  }
});

test.run();
