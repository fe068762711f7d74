/** Connections that are reset while they are open, while data waits and while their end is sent. */
import { once } from 'node:events';
import net, { type AddressInfo, type Socket } from 'node:net';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { wait } from '@radishbay/core/wait.js';

import {
  findLostPeerEnd,
  LostPeerEnd,
  onEndWithoutPeer,
  resetConnection,
} from '../src/connectionReset.js';

const HOST = '127.0.0.1';

const TIMEOUT_MS = 2_000;

/** More than the buffers of a connection hold. */
const UNREAD_BYTES = 32 * 1024 * 1024;

/** Few enough to arrive at once. */
const SENT_BYTES = 800;

const TRIES = 20;

interface Context {
  server: net.Server;
  port: number;
  near: Socket;
  far: Socket;
}

const test = suite<Context>('reset connections');

async function connect({ server, port }: Context): Promise<{ near: Socket; far: Socket }> {
  const near = net.connect({ port, host: HOST, allowHalfOpen: true });
  const [far] = (await once(server, 'connection')) as [Socket];
  far.on('error', () => {});
  return { near, far };
}

test.before.each(async (context) => {
  context.server = net.createServer({ allowHalfOpen: true });
  context.server.listen(0, HOST);
  await once(context.server, 'listening');
  context.port = (context.server.address() as AddressInfo).port;
  Object.assign(context, await connect(context));
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
    onEndWithoutPeer(socket, () => {
      findLostPeerEnd(socket, (end) => resolve(end === LostPeerEnd.Reset));
    });
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

/** How a reader finds a connection ended. */
enum Finding {
  Ended = 'ended',
  EndedThenReset = 'ended, then reset',
  Reset = 'reset',
}

interface Reading {
  readonly finding: Finding;
  readonly bytes: number;
}

/** Reads a connection until it ends or fails. */
function readToEnd(socket: Socket): Promise<Reading> {
  return new Promise((resolve, reject) => {
    let bytes = 0;
    const timer = setTimeout(() => reject(new Error('no end was found')), TIMEOUT_MS);
    const report = (finding: Finding): void => {
      clearTimeout(timer);
      resolve({ finding, bytes });
    };
    socket.on('error', () => report(Finding.Reset));
    onEndWithoutPeer(socket, () => {
      findLostPeerEnd(socket, (end) => {
        report(end === LostPeerEnd.Ended ? Finding.EndedThenReset : Finding.Reset);
      });
    });
    socket.on('end', () => {
      if (socket.remoteAddress !== undefined) report(Finding.Ended);
    });
    socket.on('data', (data) => {
      bytes += data.length;
    });
  });
}

/** @returns all different readings of several connections, which are played in sequence */
async function listReadings(
  context: Context,
  close: (near: Socket, far: Socket) => void,
): Promise<readonly string[]> {
  const readings = new Set<string>();
  for (let index = 0; index < TRIES; index += 1) {
    // eslint-disable-next-line no-await-in-loop -- connections are played in sequence
    const { near, far } = await connect(context);
    const reading = readToEnd(far);
    close(near, far);
    // eslint-disable-next-line no-await-in-loop -- see above
    const { finding, bytes } = await reading;
    readings.add(`${finding}, ${bytes} bytes`);
    near.destroy();
    far.destroy();
  }
  return [...readings];
}

/** Ends a connection, and resets it before its reader can have read the end. */
function endAndReset(near: Socket): void {
  near.end(Buffer.alloc(SENT_BYTES), () => resetConnection(near));
}

test('a connection that is reset right behind its end has ended', async (context) => {
  const readings = await listReadings(context, endAndReset);
  assert.equal(readings, [`${Finding.EndedThenReset}, ${SENT_BYTES} bytes`]);
});

test('a connection that is reset right behind data has not ended', async (context) => {
  const readings = await listReadings(context, (near) => {
    near.write(Buffer.alloc(SENT_BYTES), () => resetConnection(near));
  });
  assert.equal(readings, [`${Finding.Reset}, ${SENT_BYTES} bytes`]);
});

test('a connection is reset right behind its end while much is written to it', async (context) => {
  const readings = await listReadings(context, (near, far) => {
    far.write(Buffer.alloc(UNREAD_BYTES));
    endAndReset(near);
  });
  assert.equal(readings, [`${Finding.EndedThenReset}, ${SENT_BYTES} bytes`]);
});

test('a connection is reset right behind data while much is written to it', async (context) => {
  const readings = await listReadings(context, (near, far) => {
    far.write(Buffer.alloc(UNREAD_BYTES));
    near.write(Buffer.alloc(SENT_BYTES), () => resetConnection(near));
  });
  assert.equal(readings, [`${Finding.Reset}, ${SENT_BYTES} bytes`]);
});

/** Finds the end of a connection, and does something before it is found. */
function findEndDuring(socket: Socket, disturb: () => void): Promise<LostPeerEnd> {
  const found = new Promise<LostPeerEnd>((resolve, reject) => {
    const timer = setTimeout(() => reject(new Error('no end was found')), TIMEOUT_MS);
    onEndWithoutPeer(socket, () => {
      findLostPeerEnd(socket, (end) => {
        clearTimeout(timer);
        resolve(end);
      });
      disturb();
    });
  });
  socket.resume();
  return found;
}

test('the end is also found if the connection is destroyed meanwhile', async ({ near, far }) => {
  const found = findEndDuring(far, () => far.destroy());
  near.write(Buffer.alloc(SENT_BYTES), () => resetConnection(near));
  assert.is(await found, LostPeerEnd.Reset);
});

test('the end is found once a large write before it has failed', async ({ near, far }) => {
  const found = findEndDuring(far, () => far.destroy());
  far.write(Buffer.alloc(UNREAD_BYTES));
  near.write(Buffer.alloc(SENT_BYTES), () => resetConnection(near));
  assert.is(await found, LostPeerEnd.Reset);
});

/** Node's refusal has the same code as the error of the system that proves an end. */
test('the refusal of a write by Node proves no end', async ({ server, port }) => {
  const reader = net.connect({ port, host: HOST });
  reader.on('error', () => {});
  const [[peer]] = (await Promise.all([once(server, 'connection'), once(reader, 'connect')])) as [
    [Socket],
    unknown,
  ];
  const found = new Promise<LostPeerEnd>((resolve, reject) => {
    const timer = setTimeout(() => reject(new Error('no end was found')), TIMEOUT_MS);
    reader.on('end', () => {
      clearTimeout(timer);
      // Node refuses to write once it has ended its own side, in the turn of the event.
      setImmediate(() => findLostPeerEnd(reader, resolve));
    });
  });
  reader.resume();
  peer.write(Buffer.alloc(SENT_BYTES), () => resetConnection(peer));
  assert.is(await found, LostPeerEnd.Reset);
});

test.run();
