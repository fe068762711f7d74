/** Loopback addresses, ports and bodies for the stand-ins. */
import net from 'node:net';

/** Waits for a time in milliseconds. */
export function wait(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Polls a condition; @returns whether it became true in time. */
export async function waitFor(isTrue, limitMs, intervalMs = 50) {
  const endAtMs = performance.now() + limitMs;
  for (;;) {
    // eslint-disable-next-line no-await-in-loop -- polls
    if (await isTrue()) return true;
    if (performance.now() >= endAtMs) return false;
    // eslint-disable-next-line no-await-in-loop -- polls
    await wait(intervalMs);
  }
}

/** Listens on a loopback address; @returns the port. */
export function listen(server, address = '127.0.0.1', port = 0) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, () => resolve(server.address().port));
  });
}

/** Finds a port of a loopback address that is free, together with the port after it. */
export async function findFreePort(address) {
  const server = net.createServer();
  const port = await listen(server, address);
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

/** Reads the whole body of a message as text. */
export async function readBody(message) {
  const chunks = [];
  // eslint-disable-next-line no-restricted-syntax -- reads a stream
  for await (const chunk of message) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}
