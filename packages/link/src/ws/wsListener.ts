/** Accepts links over WebSockets. */
import http from 'node:http';
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

/** Status of a request for something else than a WebSocket. */
const STATUS_UPGRADE_REQUIRED = 426;

function refuseRequest(_message: http.IncomingMessage, response: http.ServerResponse): void {
  response.writeHead(STATUS_UPGRADE_REQUIRED).end();
}

/** WebSocket server that accepts links. */
export class WsListener {
  readonly #options: WsListenerOptions;

  readonly #httpServer = http.createServer({ insecureHTTPParser: false }, refuseRequest);

  #server: WebSocketServer | undefined;

  constructor(options: WsListenerOptions) {
    this.#options = options;
  }

  /** @returns the bound port, or the error that prevented listening */
  start(): Promise<Result<number, string>> {
    const { host, port, messageLimitBytes } = this.#options;
    const server = new WebSocketServer({
      server: this.#httpServer,
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
      this.#httpServer.listen(port, host);
    });
  }

  /** Stops listening and terminates all open connections. */
  stop(): Promise<void> {
    const server = this.#server;
    if (!server) return Promise.resolve();
    server.clients.forEach((socket) => socket.terminate());
    server.close();
    return new Promise((resolve) => {
      this.#httpServer.close(() => resolve());
    });
  }
}
