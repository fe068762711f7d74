import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { WebSocket } from 'ws';

import { MessageType, type Message } from '@radishbay/core/messages/message.js';
import type { Link } from '@radishbay/core/ports/link.js';
import { CountingMetrics } from '@radishbay/core/ports/countingMetrics.js';

import { decodeFrame, encodeFrame } from '../../src/codec/frameCodec.js';
import { LINK_PATH, WsDialer } from '../../src/ws/wsDialer.js';
import { WsListener } from '../../src/ws/wsListener.js';

const MESSAGE_LIMIT_BYTES = 4_096;

function cancelOf(attemptId: string): Message {
  return { type: MessageType.Cancel, attemptId };
}

async function listenAt(metrics: CountingMetrics, onLink: (link: Link) => void) {
  const listener = new WsListener({
    host: '127.0.0.1',
    port: 0,
    messageLimitBytes: MESSAGE_LIMIT_BYTES,
    linkLimit: 10,
    metrics,
    onLink,
  });
  const port = (await listener.start()).unwrap();
  return { listener, port };
}

function onceClosed(link: Link): Promise<string> {
  return new Promise((resolve) => {
    link.listen({ onOpen: () => {}, onMessage: () => {}, onClose: resolve });
  });
}

test('messages of one turn arrive in order over one frame', async () => {
  const metrics = new CountingMetrics();
  const seen: string[] = [];
  let done: () => void = () => {};
  const arrived = new Promise<void>((resolve) => {
    done = resolve;
  });
  const { listener, port } = await listenAt(metrics, (link) =>
    link.listen({
      onOpen: () => {},
      onMessage: (message) => {
        if (message.type === MessageType.Cancel) seen.push(message.attemptId);
        if (seen.length === 3) done();
      },
      onClose: () => {},
    }),
  );
  const link = new WsDialer(metrics, MESSAGE_LIMIT_BYTES).dial(`127.0.0.1:${port}`);
  link.listen({
    onOpen: () => ['a', 'b', 'c'].forEach((id) => link.send(cancelOf(id))),
    onMessage: () => {},
    onClose: () => {},
  });
  await arrived;
  assert.equal(seen, ['a', 'b', 'c']);
  link.close('done');
  await listener.stop();
});

test('a broken frame closes the link, is counted, and the listener goes on', async () => {
  const metrics = new CountingMetrics();
  const closes: Promise<string>[] = [];
  const { listener, port } = await listenAt(metrics, (link) => closes.push(onceClosed(link)));
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

  const link = new WsDialer(metrics, MESSAGE_LIMIT_BYTES).dial(`127.0.0.1:${port}`);
  await new Promise<void>((resolve) => {
    link.listen({ onOpen: resolve, onMessage: () => {}, onClose: () => {} });
  });
  assert.ok(link.isOpen);
  await listener.stop();
});

test('a frame over the size limit closes the link', async () => {
  const metrics = new CountingMetrics();
  const { listener, port } = await listenAt(metrics, (link) => onceClosed(link));
  const link = new WsDialer(metrics, MESSAGE_LIMIT_BYTES).dial(`127.0.0.1:${port}`);
  const closed = new Promise<string>((resolve) => {
    link.listen({
      onOpen: () => link.send(cancelOf('x'.repeat(MESSAGE_LIMIT_BYTES))),
      onMessage: () => {},
      onClose: resolve,
    });
  });
  await closed;
  assert.not(link.isOpen);
  await listener.stop();
});

test('a dial to nobody tells that it closed', async () => {
  const metrics = new CountingMetrics();
  const { listener, port } = await listenAt(metrics, () => {});
  await listener.stop();
  const link = new WsDialer(metrics, MESSAGE_LIMIT_BYTES).dial(`127.0.0.1:${port}`);
  assert.ok(await onceClosed(link));
});

test('bytes survive a frame, and a field of the wrong type is named', () => {
  const data = new Uint8Array([0, 255, 7]);
  const message: Message = { type: MessageType.Data, attemptId: 'a', offset: 3, data };
  const decoded = decodeFrame(encodeFrame([message])).unwrap()[0];
  assert.ok(decoded?.type === MessageType.Data);
  assert.equal([...decoded.data], [0, 255, 7]);
  const broken = decodeFrame(encodeFrame([{ ...message, offset: -1 }]));
  assert.ok(broken.err);
  assert.match(String(broken.val), /offset/);
});

test.run();
