/**
 * Free ports on loopback.
 *
 * Ports are named before the process that listens on them starts, so they must not go to anybody
 * else meanwhile: neither to an outgoing connection, which takes its local port from the system's
 * ephemeral range, nor to another harness that runs beside. Each process therefore takes blocks
 * below that range, and holds a block by listening on its first port until it ends.
 */
import net from 'node:net';

const HOST = '127.0.0.1';

/** First port of the first block. */
const FIRST_PORT = 12_000;

/** Ports in a block: more than the largest fleet of the tests needs. */
const BLOCK_SIZE = 100;

/** Blocks below 32,768, where Linux's ephemeral ports begin by default. */
const BLOCK_COUNT = 200;

const held = { next: 0, end: 0 };

function listen(port: number): Promise<net.Server | undefined> {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, HOST, () => resolve(server));
  });
}

function close(server: net.Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
  });
}

async function holdBlock(triesLeft = BLOCK_COUNT): Promise<void> {
  if (triesLeft === 0) throw new Error('no block of ports is free');
  const block = Math.floor(Math.random() * BLOCK_COUNT);
  const first = FIRST_PORT + block * BLOCK_SIZE;
  const holder = await listen(first);
  if (!holder) {
    await holdBlock(triesLeft - 1);
    return;
  }
  holder.unref();
  held.next = first + 1;
  held.end = first + BLOCK_SIZE;
}

async function takePort(): Promise<number> {
  if (held.next >= held.end) await holdBlock();
  const port = held.next;
  held.next += 1;
  const server = await listen(port);
  if (!server) return takePort();
  await close(server);
  return port;
}

async function takePorts(count: number): Promise<readonly number[]> {
  if (count === 0) return [];
  const port = await takePort();
  return [port, ...(await takePorts(count - 1))];
}

/** Ports are taken one after the other, so that two callers at once never get the same. */
let turn: Promise<unknown> = Promise.resolve();

/** Finds ports that are free now and that this process names once only. */
export function findFreePorts(count: number): Promise<readonly number[]> {
  const mine = turn.then(() => takePorts(count));
  turn = mine.catch(() => {});
  return mine;
}
