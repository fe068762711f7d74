import type { AddressInfo } from 'node:net';

import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { WebSocket, WebSocketServer } from 'ws';

import { MessageType, type Message, type MessageOf } from '@radishbay/core/messages/message.js';
import type { Link } from '@radishbay/core/ports/link.js';
import { CountingMetrics } from '@radishbay/core/ports/countingMetrics.js';
import { SilentLog } from '@radishbay/core/ports/silentLog.js';

import { decodeFrame, encodeFrame } from '../../src/codec/frameCodec.js';
import { LINK_PATH, WsDialer } from '../../src/ws/wsDialer.js';
import { WsListener } from '../../src/ws/wsListener.js';

const MESSAGE_LIMIT_BYTES = 4_096;

/** RFC 6455 close code for a policy violation. */
const CLOSE_POLICY_VIOLATION = 1008;

const LOG = new SilentLog();

const BYTES = new Uint8Array([1, 2, 3]);

const COUNTS: MessageOf<MessageType.UpstreamCounts> = {
  type: MessageType.UpstreamCounts,
  entry: 'e',
  isFull: true,
  counts: {},
};

function createCancel(attemptId: string): Message {
  return { type: MessageType.Cancel, attemptId };
}

async function startListener(metrics: CountingMetrics, onLink: (link: Link) => void) {
  const listener = new WsListener({
    host: '127.0.0.1',
    port: 0,
    messageLimitBytes: MESSAGE_LIMIT_BYTES,
    linkLimit: 10,
    log: LOG,
    metrics,
    onLink,
  });
  const port = (await listener.start()).unwrap();
  return { listener, port };
}

function waitForClose(link: Link): Promise<string> {
  return new Promise((resolve) => {
    link.listen({ onOpen: () => {}, onMessage: () => {}, onClose: resolve });
  });
}

test('messages sent in one event loop turn arrive in order', async () => {
  const metrics = new CountingMetrics();
  const received: string[] = [];
  let resolveArrived: () => void = () => {};
  const arrived = new Promise<void>((resolve) => {
    resolveArrived = resolve;
  });
  const { listener, port } = await startListener(metrics, (link) =>
    link.listen({
      onOpen: () => {},
      onMessage: (message) => {
        if (message.type === MessageType.Cancel) received.push(message.attemptId);
        if (received.length === 3) resolveArrived();
      },
      onClose: () => {},
    }),
  );
  const link = new WsDialer({ log: LOG, metrics }, MESSAGE_LIMIT_BYTES).dial(`127.0.0.1:${port}`);
  link.listen({
    onOpen: () => ['a', 'b', 'c'].forEach((id) => link.send(createCancel(id))),
    onMessage: () => {},
    onClose: () => {},
  });
  await arrived;
  assert.equal(received, ['a', 'b', 'c']);
  link.close('done');
  await listener.stop();
});

test('an undecodable frame closes the link and is counted, and the listener keeps accepting', async () => {
  const metrics = new CountingMetrics();
  const closes: Promise<string>[] = [];
  const { listener, port } = await startListener(metrics, (link) =>
    closes.push(waitForClose(link)),
  );
  const socket = new WebSocket(`ws://127.0.0.1:${port}${LINK_PATH}`);
  await new Promise((resolve) => {
    socket.once('open', resolve);
  });
  socket.send(Buffer.from([0xc1, 0xff]));
  await new Promise((resolve) => {
    socket.once('close', resolve);
  });
  assert.match(await closes[0]!, /frame/);
  assert.is(metrics.readCount('link.broken-frame'), 1);

  const link = new WsDialer({ log: LOG, metrics }, MESSAGE_LIMIT_BYTES).dial(`127.0.0.1:${port}`);
  await new Promise<void>((resolve) => {
    link.listen({ onOpen: resolve, onMessage: () => {}, onClose: () => {} });
  });
  assert.ok(link.isOpen);
  await listener.stop();
});

/** An invalid message whose error text is longer than the reason of a close may be. */
function createInvalidFrame(name: string): Buffer {
  return encodeFrame([{ ...COUNTS, counts: { [name]: -1 } }]);
}

['n'.repeat(300), 'é'.repeat(300), '\u{1f3b5}'.repeat(300), '\ud800'.repeat(300)].forEach(
  (name) => {
    const start = JSON.stringify(name.slice(0, 2));

    test(`an invalid field ${start}... closes an accepted link`, async () => {
      const metrics = new CountingMetrics();
      const closes: Promise<string>[] = [];
      const { listener, port } = await startListener(metrics, (link) =>
        closes.push(waitForClose(link)),
      );
      const socket = new WebSocket(`ws://127.0.0.1:${port}${LINK_PATH}`);
      socket.once('open', () => socket.send(createInvalidFrame(name)));
      const code = await new Promise((resolve) => {
        socket.once('close', resolve);
      });
      assert.is(code, CLOSE_POLICY_VIOLATION);
      assert.match(await closes[0]!, /invalid message field counts/u);
      await listener.stop();
    });

    test(`an invalid field ${start}... closes a dialed link`, async () => {
      const metrics = new CountingMetrics();
      const server = new WebSocketServer({ host: '127.0.0.1', port: 0 });
      await new Promise((resolve) => {
        server.once('listening', resolve);
      });
      const code = new Promise((resolve) => {
        server.once('connection', (socket) => {
          socket.once('close', resolve);
          socket.send(createInvalidFrame(name));
        });
      });
      const { port } = server.address() as AddressInfo;
      const link = new WsDialer({ log: LOG, metrics }, MESSAGE_LIMIT_BYTES).dial(
        `127.0.0.1:${port}`,
      );
      assert.match(await waitForClose(link), /invalid message field counts/u);
      assert.is(await code, CLOSE_POLICY_VIOLATION);
      server.close();
    });
  },
);

test('a frame over the size limit closes the link', async () => {
  const metrics = new CountingMetrics();
  const { listener, port } = await startListener(metrics, (link) => waitForClose(link));
  const link = new WsDialer({ log: LOG, metrics }, MESSAGE_LIMIT_BYTES).dial(`127.0.0.1:${port}`);
  const closed = new Promise<string>((resolve) => {
    link.listen({
      onOpen: () => link.send(createCancel('x'.repeat(MESSAGE_LIMIT_BYTES))),
      onMessage: () => {},
      onClose: resolve,
    });
  });
  await closed;
  assert.not(link.isOpen);
  await listener.stop();
});

test('dialing an address without a listener reports a close', async () => {
  const metrics = new CountingMetrics();
  const { listener, port } = await startListener(metrics, () => {});
  await listener.stop();
  const link = new WsDialer({ log: LOG, metrics }, MESSAGE_LIMIT_BYTES).dial(`127.0.0.1:${port}`);
  assert.ok(await waitForClose(link));
});

Object.entries({
  leaving: { leaving: BYTES },
  limits: { limits: BYTES },
  prompts: { prompts: BYTES },
  'prompts.0.trials': { prompts: [{ pool: 'models', trials: BYTES }] },
  'prompts.0.crashes': { prompts: [{ pool: 'models', crashes: BYTES }] },
  'work.m-1': { work: { 'm-1': BYTES } },
}).forEach(([path, fields]) => {
  test(`bytes in place of the list ${path} are refused with the name of the field`, () => {
    const decoded = decodeFrame(encodeFrame([{ ...COUNTS, ...fields } as unknown as Message]));
    assert.ok(decoded.err);
    assert.match(String(decoded.val), `invalid message field ${path}`);
  });
});

test('bytes round-trip through a frame, and the error names an invalid field', () => {
  const data = new Uint8Array([0, 255, 7]);
  const message: Message = { type: MessageType.Data, attemptId: 'a', offset: 3, data };
  const decoded = decodeFrame(encodeFrame([message])).unwrap()[0];
  assert.ok(decoded?.type === MessageType.Data);
  assert.equal([...decoded.data], [0, 255, 7]);
  const broken = decodeFrame(encodeFrame([{ ...message, offset: -1 }]));
  assert.ok(broken.err);
  assert.match(String(broken.val), /offset/);
});

/** Guards against a process that ends by an exception while it handles one message. */
test('an exception of a handler closes its link only', async () => {
  const metrics = new CountingMetrics();
  const { listener, port } = await startListener(metrics, (link) =>
    link.listen({
      onOpen: () => {},
      onMessage: () => {
        throw new Error('injected');
      },
      onClose: () => {},
    }),
  );
  const other = new WsDialer({ log: LOG, metrics }, MESSAGE_LIMIT_BYTES).dial(`127.0.0.1:${port}`);
  await new Promise<void>((resolve) => {
    other.listen({ onOpen: resolve, onMessage: () => {}, onClose: () => {} });
  });
  const link = new WsDialer({ log: LOG, metrics }, MESSAGE_LIMIT_BYTES).dial(`127.0.0.1:${port}`);
  const detail = await new Promise<string>((resolve) => {
    link.listen({
      onOpen: () => link.send(createCancel('a')),
      onMessage: () => {},
      onClose: resolve,
    });
  });
  assert.match(detail, /1011 .*internal error/u);
  assert.is(metrics.readCount('fault.contained{part=link}'), 1);
  assert.ok(other.isOpen);
  await listener.stop();
});

test.run();
