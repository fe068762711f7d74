/** Accepts links over WebSockets. */
import type { AddressInfo } from 'node:net';
import { WebSocketServer } from 'ws';

import type { FaultSinks } from '@radishbay/core/fault.js';
import type { Link } from '@radishbay/core/ports/link.js';
import { Err, Ok, type Result } from '@radishbay/core/outcome.js';

import { LINK_PATH } from './wsDialer.js';
import { WsLink } from './wsLink.js';

export interface WsListenerOptions extends FaultSinks {
  /** IP address to bind. */
  readonly host: string;
  /** Port to bind; 0 lets the system choose. */
  readonly port: number;
  /** Largest frame accepted; a larger one closes its link. */
  readonly messageLimitBytes: number;
  /** Maximum number of open links; further connections are terminated and counted. */
  readonly linkLimit: number;
  readonly onLink: (link: Link) => void;
}

/** WebSocket server that accepts links. */
export class WsListener {
  readonly #options: WsListenerOptions;

  #server: WebSocketServer | undefined;

  constructor(options: WsListenerOptions) {
    this.#options = options;
  }

  /** @returns the bound port, or the error that prevented listening */
  start(): Promise<Result<number, string>> {
    const { host, port, messageLimitBytes } = this.#options;
    const server = new WebSocketServer({
      host,
      port,
      path: LINK_PATH,
      maxPayload: messageLimitBytes,
      perMessageDeflate: false,
    });
    this.#server = server;
    server.on('connection', (socket) => {
      if (server.clients.size > this.#options.linkLimit) {
        this.#options.metrics.count('link.limit-reached');
        socket.terminate();
        return;
      }
      this.#options.onLink(new WsLink(socket, this.#options));
    });
    return new Promise((resolve) => {
      server.once('error', (error) => resolve(Err(error.message)));
      server.once('listening', () => resolve(Ok((server.address() as AddressInfo).port)));
    });
  }

  /** Stops listening and terminates all open connections. */
  stop(): Promise<void> {
    const server = this.#server;
    if (!server) return Promise.resolve();
    server.clients.forEach((socket) => socket.terminate());
    return new Promise((resolve) => {
      server.close(() => resolve());
    });
  }
}
