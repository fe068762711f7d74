/**
 * Exceptions of listeners, which concern the response at hand and nothing else, and responses that
 * end with their connection.
 */
import { once } from 'node:events';
import http from 'node:http';
import net, { type AddressInfo, type Socket } from 'node:net';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { wait } from '@radishbay/core/wait.js';

import { resetConnection } from '../src/connectionReset.js';
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

const SMALL_BODY_BYTES = 800;

const LAST_PART_BYTES = 40_000;

/** Body sizes that arrive with their end before the reader runs. */
const BODY_SIZES_BYTES = [0, SMALL_BODY_BYTES, LAST_PART_BYTES];

const LARGE_BODY_BYTES = 300_000;

/** More than the buffers of a connection hold. */
const UNREAD_BYTES = 32 * 1024 * 1024;

const TRIES = 20;

const PAUSE_MS = 40;

/** Time after which no more events are expected. */
const SETTLE_MS = 2_000;

const HEAD = 'HTTP/1.1 200 OK\r\n\r\n';

const RESET_DETAIL = 'the connection was reset';

/** How the server closes the connection behind its response. */
enum Close {
  EndThenReset = 'an end and a reset',
  Reset = 'a reset',
}

interface RawContext {
  server: net.Server;
  port: number;
  /** Answers a request. */
  answer: (socket: Socket) => void;
}

interface Reading {
  /** Names of the events, in order; several `onData` in sequence count as one. */
  readonly events: string[];
  readonly body: Buffer;
}

/** What a test does besides reading. */
interface Interference {
  readonly upload?: Buffer;
  readonly onHead?: (reader: ResponseReader, response: http.IncomingMessage) => void;
  readonly onData?: (reader: ResponseReader) => void;
  readonly onEnd?: () => void;
}

const raw = suite<RawContext>('responses that end with their connection');

raw.before.each(async (context) => {
  context.server = net.createServer({ allowHalfOpen: true }, (socket) => {
    socket.on('error', () => {});
    socket.once('data', () => context.answer(socket));
  });
  context.server.listen(0, '127.0.0.1');
  await once(context.server, 'listening');
  context.port = (context.server.address() as AddressInfo).port;
});

raw.after.each(({ server }) => {
  server.close();
});

/** Closes the connection before this process, which also reads the response, reads any of it. */
function answerWith(body: Buffer, close: Close): (socket: Socket) => void {
  return (socket) => {
    const bytes = Buffer.concat([Buffer.from(HEAD), body]);
    const reset = (): void => resetConnection(socket);
    if (close === Close.Reset) socket.write(bytes, reset);
    else socket.end(bytes, reset);
  };
}

/** Reads a response until its connection has closed and no more events can follow. */
async function read({ port }: RawContext, interference: Interference = {}): Promise<Reading> {
  const { upload, onHead, onData, onEnd } = interference;
  const events: string[] = [];
  const chunks: Buffer[] = [];
  const method = upload ? 'POST' : 'GET';
  const request = http.request({ host: '127.0.0.1', port, method, agent: false });
  const settled = new Promise<void>((resolve) => {
    const settle = (name: string): void => {
      events.push(name);
      resolve();
    };
    const reader = new ResponseReader(request, {
      onHead: (response) => {
        events.push('onHead');
        onHead?.(reader, response);
      },
      onData: (data) => {
        if (events.at(-1) !== 'onData') events.push('onData');
        chunks.push(data);
        onData?.(reader);
      },
      onEnd: () => {
        settle('onEnd');
        onEnd?.();
      },
      onFailure: ({ detail }) => settle(`onFailure: ${detail}`),
      onFault: (error) => settle(`onFault: ${error.message}`),
    });
  });
  request.end(upload);
  await Promise.race([settled, wait(SETTLE_MS)]);
  request.destroy();
  await wait(POLL_MS);
  return { events, body: Buffer.concat(chunks) };
}

function createBody(sizeBytes: number): Buffer {
  return Buffer.from(Array.from({ length: sizeBytes }, (_, index) => index % 251));
}

/** @returns all different readings of one response, which is read repeatedly */
async function listReadings(context: RawContext, body: Buffer, interference?: Interference) {
  const readings = new Set<string>();
  for (let index = 0; index < TRIES; index += 1) {
    // eslint-disable-next-line no-await-in-loop -- responses are read in sequence
    const { events, body: received } = await read(context, interference);
    readings.add(`${events.at(-1)}, ${received.equals(body) ? 'whole' : 'part'}`);
  }
  return [...readings];
}

BODY_SIZES_BYTES.forEach((sizeBytes) => {
  const body = createBody(sizeBytes);

  raw(`a response of ${sizeBytes} bytes is whole if a reset follows its end`, async (context) => {
    context.answer = answerWith(body, Close.EndThenReset);
    assert.equal(await listReadings(context, body), ['onEnd, whole']);
  });

  raw(`a response of ${sizeBytes} bytes is not whole if a reset follows`, async (context) => {
    context.answer = answerWith(body, Close.Reset);
    assert.equal(await listReadings(context, body), [`onFailure: ${RESET_DETAIL}, whole`]);
  });
});

raw('a large response is whole for a slow reader if a reset follows its end', async (context) => {
  const body = createBody(LARGE_BODY_BYTES);
  context.answer = (socket) => {
    // The reader takes the first part, then the rest with the end and the reset.
    socket.write(Buffer.concat([Buffer.from(HEAD), body.subarray(0, -LAST_PART_BYTES)]));
    setTimeout(() => {
      socket.end(body.subarray(-LAST_PART_BYTES), () => resetConnection(socket));
    }, PAUSE_MS);
  };
  const interference = {
    onData: (reader: ResponseReader) => {
      reader.pause();
      setTimeout(() => reader.resume(), POLL_MS);
    },
  };
  const { events, body: received } = await read(context, interference);
  assert.equal(events, ['onHead', 'onData', 'onEnd']);
  assert.ok(received.equals(body));
});

raw('a large response is not whole if a reset follows', async (context) => {
  const body = createBody(LARGE_BODY_BYTES);
  context.answer = answerWith(body, Close.Reset);
  const readings = await listReadings(context, body);
  assert.equal(
    readings.filter((reading) => reading.startsWith('onEnd')),
    [],
  );
});

[
  { close: Close.EndThenReset, last: 'onEnd' },
  { close: Close.Reset, last: `onFailure: ${RESET_DETAIL}` },
].forEach(({ close, last }) => {
  raw(`the end of a paused response is reported after its data (${close})`, async (context) => {
    const body = createBody(SMALL_BODY_BYTES);
    context.answer = answerWith(body, close);
    const onHead = (reader: ResponseReader, response: http.IncomingMessage): void => {
      response.socket.once('close', () => setTimeout(() => reader.resume(), POLL_MS));
      reader.pause();
    };
    const { events, body: received } = await read(context, { onHead });
    assert.is(events.at(-1), last);
    if (close === Close.EndThenReset) assert.ok(received.equals(body));
  });

  raw(`the end of a response is found while its request is sent (${close})`, async (context) => {
    const body = createBody(SMALL_BODY_BYTES);
    context.answer = answerWith(body, close);
    const { events } = await read(context, { upload: Buffer.alloc(UNREAD_BYTES) });
    assert.is(events.at(-1), last);
  });
});

/** Runs when the connection has ended and it is not known yet whether it had been reset before. */
function onPendingEnd(disturb: (reader: ResponseReader, socket: Socket) => void): Interference {
  return {
    onHead: (reader, { socket }) => {
      socket.once('end', () => disturb(reader, socket));
    },
  };
}

raw('no event follows a stop while the end is being proven', async (context) => {
  context.answer = answerWith(createBody(SMALL_BODY_BYTES), Close.EndThenReset);
  let isStopped = false;
  const reading = read(
    context,
    onPendingEnd((reader, socket) => {
      isStopped = true;
      reader.stop();
      socket.destroy();
    }),
  );
  const { events } = await reading;
  assert.ok(isStopped);
  assert.equal(events, ['onHead', 'onData']);
});

raw('one failure is reported while the end is being proven', async (context) => {
  context.answer = answerWith(createBody(SMALL_BODY_BYTES), Close.EndThenReset);
  const interference = onPendingEnd((reader) => reader.fail('no answer in time'));
  const { events } = await read(context, interference);
  assert.equal(events, ['onHead', 'onData', 'onFailure: no answer in time']);
});

[Close.EndThenReset, Close.Reset].forEach((close) => {
  raw(`a connection that is destroyed while its end is proven (${close})`, async (context) => {
    context.answer = answerWith(createBody(SMALL_BODY_BYTES), close);
    const interference = onPendingEnd((_reader, socket) => socket.destroy());
    const { events } = await read(context, interference);
    const expected = close === Close.Reset ? [`onFailure: ${RESET_DETAIL}`] : ['onEnd'];
    assert.equal(events.slice(2), expected);
  });
});

raw('a fault at a proven end is reported', async (context) => {
  context.answer = answerWith(createBody(SMALL_BODY_BYTES), Close.EndThenReset);
  const onEnd = (): void => {
    throw FAULT;
  };
  const { events } = await read(context, { onEnd });
  assert.equal(events, ['onHead', 'onData', 'onEnd', `onFault: ${FAULT.message}`]);
});

raw('a response without a body is whole although its connection is reset', async (context) => {
  context.answer = (socket) => {
    socket.end('HTTP/1.1 204 No Content\r\n\r\n', () => resetConnection(socket));
  };
  const { events } = await read(context);
  assert.equal(events, ['onHead', 'onEnd']);
});

raw.run();
