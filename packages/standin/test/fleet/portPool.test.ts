import net from 'node:net';

import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { findFreePorts } from '../../src/fleet/portPool.js';

/** First port that Linux gives to outgoing connections by default. */
const EPHEMERAL_FIRST = 32_768;

test('ports that are asked for at once are all different, and nobody connects from them', async () => {
  const ports = (await Promise.all(Array.from({ length: 40 }, () => findFreePorts(4)))).flat();
  assert.is(new Set(ports).size, 160);
  assert.ok(ports.every((port) => port < EPHEMERAL_FIRST));
});

test('a port that is taken is passed over', async () => {
  const [port = 0] = await findFreePorts(1);
  const server = net.createServer();
  await new Promise<void>((resolve) => {
    server.listen(port + 1, '127.0.0.1', resolve);
  });
  const [next] = await findFreePorts(1);
  server.close();
  assert.is(next, port + 2);
});

test.run();
