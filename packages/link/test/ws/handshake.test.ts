/** Peers that answer the handshake of a link with a malformed field name. */
import { createHash } from 'node:crypto';
import net, { type AddressInfo } from 'node:net';

import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { CountingMetrics } from '@radishbay/core/ports/countingMetrics.js';
import { SilentLog } from '@radishbay/core/ports/silentLog.js';

import { WsDialer } from '../../src/ws/wsDialer.js';

const MESSAGE_LIMIT_BYTES = 4_096;

/** Value from which the answer to a handshake is computed (RFC 6455, 1.3). */
const HANDSHAKE_GUID = '258EAFA5-E914-47DA-95CA-C5AB0DC85B11';

/** Writes an answer that accepts a handshake, with a further header line. */
function writeAcceptance(handshake: string, line: string): string {
  const key = /sec-websocket-key: (\S+)/iu.exec(handshake)?.[1];
  const accepted = createHash('sha1').update(`${key}${HANDSHAKE_GUID}`).digest('base64');
  return [
    'HTTP/1.1 101 Switching Protocols',
    'X-First: 1',
    line,
    'Upgrade: websocket',
    'Connection: Upgrade',
    `Sec-WebSocket-Accept: ${accepted}`,
    '\r\n',
  ].join('\r\n');
}

/** Dials a peer that accepts the handshake; @returns whether the link opened. */
async function isOpened(line: string): Promise<boolean> {
  const server = net.createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', (data) => socket.write(writeAcceptance(data.toString('latin1'), line)));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const sinks = { log: new SilentLog(), metrics: new CountingMetrics() };
  const { port } = server.address() as AddressInfo;
  const link = new WsDialer(sinks, MESSAGE_LIMIT_BYTES).dial(`127.0.0.1:${port}`);
  const result = await new Promise<boolean>((resolve) => {
    link.listen({
      onOpen: () => resolve(true),
      onMessage: () => {},
      onClose: () => resolve(false),
    });
  });
  link.close('done');
  server.close();
  return result;
}

test('a link opens when its peer accepts the handshake', async () => {
  assert.ok(await isOpened('X-Other: 1'));
});

[' X-Other: 1', '\tX-Other: 1', 'X Other: 1', 'X-Other : 1', '\nX-Other: 1'].forEach((line) => {
  test(`a link does not open on a handshake with ${JSON.stringify(line)}`, async () => {
    assert.not(await isOpened(line));
  });
});

test.run();
