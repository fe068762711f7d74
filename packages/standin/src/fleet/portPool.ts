/** Free ports on loopback. */
import net from 'node:net';
import type { AddressInfo } from 'node:net';

function listen(): Promise<net.Server> {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => resolve(server));
  });
}

function close(server: net.Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
  });
}

/** Finds ports that are free now; all are held together so that none is named twice. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const servers = await Promise.all(Array.from({ length: count }, listen));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map(close));
  return ports;
}
