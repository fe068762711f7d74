/** Connections that are reset while they are open, while data waits and while their end is sent. */
import { once } from 'node:events';
import net, { type AddressInfo, type Socket } from 'node:net';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { wait } from '@radishbay/core/wait.js';

import { onResetAtEnd, resetConnection } from '../src/connectionReset.js';

const HOST = '127.0.0.1';

const TIMEOUT_MS = 2_000;

/** More than the buffers of a connection hold. */
const UNREAD_BYTES = 32 * 1024 * 1024;

interface Context {
  server: net.Server;
  near: Socket;
  far: Socket;
}

const test = suite<Context>('reset connections');

test.before.each(async (context) => {
  context.server = net.createServer({ allowHalfOpen: true });
  context.server.listen(0, HOST);
  await once(context.server, 'listening');
  const { port } = context.server.address() as AddressInfo;
  context.near = net.connect({ port, host: HOST, allowHalfOpen: true });
  const [far] = (await once(context.server, 'connection')) as [Socket];
  context.far = far;
  far.on('error', () => {});
});

test.after.each(({ server, far }) => {
  far.destroy();
  server.close();
});

function isInTime(event: Promise<boolean>): Promise<boolean> {
  return Promise.race([event, wait(TIMEOUT_MS).then(() => false)]);
}

function isClosed(socket: Socket): Promise<boolean> {
  const closed = new Promise<boolean>((resolve) => {
    socket.once('close', () => resolve(true));
  });
  return isInTime(closed);
}

/** Reads a connection; @returns whether its peer resets it. */
function isReset(socket: Socket): Promise<boolean> {
  const reset = new Promise<boolean>((resolve) => {
    socket.once('error', () => resolve(true));
    onResetAtEnd(socket, () => resolve(true));
  });
  socket.resume();
  return isInTime(reset);
}

test('an open connection is reset', async ({ near, far }) => {
  resetConnection(near);
  assert.ok(await isReset(far));
});

test('a connection whose peer does not read is reset, also behind its end', async ({
  near,
  far,
}) => {
  near.end(Buffer.alloc(UNREAD_BYTES));
  await wait(0);
  resetConnection(near);
  assert.ok(await isReset(far));
});

/** Guards against a connection that stays open and a process that cannot end. */
test('a connection whose end is being sent is closed', async ({ near }) => {
  const closed = isClosed(near);
  near.end();
  resetConnection(near);
  assert.ok(await closed);
});

test.run();
