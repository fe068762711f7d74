/** Base of servers that write raw bytes, for answers that an HTTP server cannot produce. */
import net, { type AddressInfo } from 'node:net';

import { resetConnection } from '@radishbay/objects/connectionReset.js';

const HOST = '127.0.0.1';

export abstract class RawServer {
  port = 0;

  readonly #sockets = new Set<net.Socket>();

  readonly #server = net.createServer((socket) => this.#handleConnection(socket));

  /** Number of connections that are open. */
  get connectionCount(): number {
    return this.#sockets.size;
  }

  /** Listens on any free port. */
  start(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(0, HOST, () => {
        this.port = (this.#server.address() as AddressInfo).port;
        resolve();
      });
    });
  }

  /** Resets all connections that are open. */
  resetConnections(): void {
    this.#sockets.forEach(resetConnection);
  }

  stop(): Promise<void> {
    this.#sockets.forEach((socket) => socket.destroy());
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
    });
  }

  /** Handles a connection that was opened to the server. */
  protected abstract accept(socket: net.Socket): void;

  #handleConnection(socket: net.Socket): void {
    this.#sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => this.#sockets.delete(socket));
    this.accept(socket);
  }
}
