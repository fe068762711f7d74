import net from 'node:net';

import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { HttpUpstreamCaller } from '../src/direct/httpUpstreamCaller.js';

const ENTRY = {
  id: 'u-1',
  domain: 'zone-a',
  pool: 'models',
  slots: 8,
  isLeaving: false,
  startedAtUnixMs: 1,
  coldForMs: 0,
};

/** Starts a server; @returns its port and the function that stops it. */
function listen(): Promise<{ port: number; stop: () => Promise<void> }> {
  return new Promise((resolve) => {
    const server = net.createServer((socket) => socket.destroy());
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as net.AddressInfo;
      const stop = () =>
        new Promise<void>((done) => {
          server.close(() => done());
        });
      resolve({ port, stop });
    });
  });
}

function isRefusing(address: string): Promise<boolean> {
  const caller = new HttpUpstreamCaller(undefined as never);
  return caller.isRefusingConnections({ ...ENTRY, address });
}

test('an upstream whose port is closed refuses connections, one that listens does not', async () => {
  const { port, stop } = await listen();
  assert.is(await isRefusing(`127.0.0.1:${port}`), false);
  await stop();
  assert.is(await isRefusing(`127.0.0.1:${port}`), true);
});

test('an invalid address is no sign of a crash', async () => {
  assert.is(await isRefusing('127.0.0.1:70000'), false);
  assert.is(await isRefusing('127.0.0.1:x'), false);
  assert.is(await isRefusing(''), false);
});

test.run();
