/**
 * Pool of keep-alive connections to upstreams.
 *
 * An upstream closes idle connections, and may send bytes that belong to no request. An idle
 * connection is therefore closed before the upstream's keep-alive timeout, and as soon as it
 * receives data.
 */
import http from 'node:http';
import type { Duplex } from 'node:stream';
import type { Socket } from 'node:net';

/** How long before the upstream's keep-alive timeout an idle connection is closed. */
const IDLE_MARGIN_MS = 1_000;

const MS_PER_SECOND = 1_000;

const KEEP_ALIVE_TIMEOUT = /(?:^|[\s,])timeout=(\d+)/iu;

type ClientSocket = Socket & { readonly _httpMessage?: { readonly res?: http.IncomingMessage } };

/** Reads the upstream's keep-alive timeout from its last response; undefined if not sent. */
function readKeepAliveTimeoutMs(socket: ClientSocket): number | undefined {
  // Node stores the request of a socket in this field; its own agent reads the hint from it too.
  // eslint-disable-next-line no-underscore-dangle -- Node's name
  const hint = socket._httpMessage?.res?.headers['keep-alive'];
  const seconds = hint === undefined ? undefined : KEEP_ALIVE_TIMEOUT.exec(String(hint))?.[1];
  return seconds === undefined ? undefined : Number(seconds) * MS_PER_SECOND;
}

function destroyOnData(this: Socket): void {
  this.destroy();
}

/** An agent that closes idle connections before they can become stale. */
export class UpstreamAgent extends http.Agent {
  readonly #idleLimitMs: number;

  #connectionCount = 0;

  /**
   * @param idleLimitMs maximum idle time of a connection; 0 to use each for one request
   * @param maxSockets maximum number of connections to one address
   */
  constructor(idleLimitMs: number, maxSockets = Infinity) {
    super({ keepAlive: true, scheduling: 'lifo', maxFreeSockets: 64, maxSockets });
    this.#idleLimitMs = idleLimitMs;
  }

  /** Number of connections that are open or being opened. */
  get connectionCount(): number {
    return this.#connectionCount;
  }

  /** Counts a new connection until it closes. */
  noteConnection(socket: Socket): void {
    this.#connectionCount += 1;
    socket.once('close', () => {
      this.#connectionCount -= 1;
    });
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

  /** Closes the idle connections to an address: if one has failed, the others may have too. */
  destroyIdleSockets(address: string): void {
    Object.entries(this.freeSockets).forEach(([name, sockets]) => {
      if (name.startsWith(`${address}:`)) sockets?.forEach((socket) => socket.destroy());
    });
  }
}
