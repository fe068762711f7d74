/**
 * Kept connections to upstreams.
 *
 * An upstream closes idle connections, and may send bytes that belong to no request. A connection
 * is therefore given up before the upstream's own timeout, and as soon as anything comes on it
 * while it is idle.
 */
import http from 'node:http';
import type { Duplex } from 'node:stream';
import type { Socket } from 'node:net';

/** Time by which an idle connection is given up before the upstream's own timeout. */
const IDLE_MARGIN_MS = 1_000;

const MS_PER_SECOND = 1_000;

const KEEP_ALIVE_TIMEOUT = /(?:^|[\s,])timeout=(\d+)/iu;

type ClientSocket = Socket & { readonly _httpMessage?: { readonly res?: http.IncomingMessage } };

/** Reads how long the upstream keeps the connection, from its last answer. */
function readKeepAliveTimeoutMs(socket: ClientSocket): number | undefined {
  // Node keeps the request of a socket there, and its own agent reads the hint the same way.
  // eslint-disable-next-line no-underscore-dangle -- Node's name
  const hint = socket._httpMessage?.res?.headers['keep-alive'];
  const seconds = hint === undefined ? undefined : KEEP_ALIVE_TIMEOUT.exec(String(hint))?.[1];
  return seconds === undefined ? undefined : Number(seconds) * MS_PER_SECOND;
}

function destroyOnData(this: Socket): void {
  this.destroy();
}

/** An agent whose idle connections are never used when they may be stale. */
export class UpstreamAgent extends http.Agent {
  readonly #idleLimitMs: number;

  /** @param idleLimitMs longest time for which an idle connection is kept */
  constructor(idleLimitMs: number) {
    super({ keepAlive: true, scheduling: 'lifo', maxFreeSockets: 64 });
    this.#idleLimitMs = idleLimitMs;
  }

  override keepSocketAlive(socket: Duplex): boolean {
    const client = socket as ClientSocket;
    const keepAliveTimeoutMs = readKeepAliveTimeoutMs(client);
    const limitMs = Math.min(this.#idleLimitMs, (keepAliveTimeoutMs ?? Infinity) - IDLE_MARGIN_MS);
    if (limitMs <= 0) return false;
    super.keepSocketAlive(socket);
    client.on('data', destroyOnData);
    client.setTimeout(limitMs, () => client.destroy());
    return true;
  }

  override reuseSocket(socket: Duplex, request: http.ClientRequest): void {
    const client = socket as ClientSocket;
    client.removeListener('data', destroyOnData);
    client.removeAllListeners('timeout');
    client.setTimeout(0);
    super.reuseSocket(socket, request);
  }

  /** Closes the idle connections to one address: where one went silent, others may have. */
  destroyIdleSockets(address: string): void {
    Object.entries(this.freeSockets).forEach(([name, sockets]) => {
      if (name.startsWith(`${address}:`)) sockets?.forEach((socket) => socket.destroy());
    });
  }
}
