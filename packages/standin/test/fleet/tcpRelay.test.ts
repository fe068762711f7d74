/** Relayed connections that are cut while one of their ends is being passed on. */
import { once } from 'node:events';
import net, { type AddressInfo, type Socket } from 'node:net';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { wait } from '@radishbay/core/wait.js';

import { RelayDirection, TcpRelay } from '../../src/fleet/tcpRelay.js';

const HOST = '127.0.0.1';

const CLOSE_TIMEOUT_MS = 2_000;

const PIECE_INTERVAL_MS = 10;

/** Turns of `process.nextTick` after which a relay has passed on what it held. */
const RELEASE_TICKS = 8;

interface Context {
  server: net.Server;
  relay: TcpRelay;
  port: number;
}

const test = suite<Context>('relayed connections');

test.before.each(async (context) => {
  context.server = net.createServer({ allowHalfOpen: true });
  context.server.listen(0, HOST);
  await once(context.server, 'listening');
  context.relay = new TcpRelay(HOST, (context.server.address() as AddressInfo).port);
  context.port = await context.relay.start();
});

test.after.each(async ({ server, relay }) => {
  await relay.stop();
  server.close();
});

async function waitForTicks(count: number): Promise<void> {
  if (count === 0) return;
  await new Promise<void>((resolve) => {
    process.nextTick(resolve);
  });
  await waitForTicks(count - 1);
}

/** Writes until the connection breaks; only a write finds out that the peer has closed it. */
async function isBrokenInTime(socket: Socket): Promise<boolean> {
  const timer = setInterval(() => socket.write('more'), PIECE_INTERVAL_MS);
  const isBroken = new Promise<boolean>((resolve) => {
    socket.once('close', () => resolve(true));
  });
  const result = await Promise.race([isBroken, wait(CLOSE_TIMEOUT_MS).then(() => false)]);
  clearInterval(timer);
  return result;
}

/** Guards against a connection that stays open, and with it the process at its end. */
test('a connection that is cut while its end is passed on is closed', async (context) => {
  const { relay, server, port } = context;
  const client = net.connect({ port, host: HOST, allowHalfOpen: true });
  client.on('error', () => {});
  const [target] = (await once(server, 'connection')) as [Socket];
  target.on('error', () => {});
  relay.hold(RelayDirection.ToTarget);
  client.end('last');
  await wait(PIECE_INTERVAL_MS * 5);
  relay.release(RelayDirection.ToTarget);
  await waitForTicks(RELEASE_TICKS);
  relay.cut();
  assert.ok(await isBrokenInTime(target));
  client.destroy();
});

test.run();
