/**
 * A TCP relay between two processes of a harness, on which connections can be cut, delayed or go
 * silent, in both directions or one.
 */
import net, { type AddressInfo, type Socket } from 'node:net';

import { resetConnection } from '@radishbay/objects/connectionReset.js';

import { RelayWay } from './relayWay.js';

/** Which way bytes go. */
export enum RelayDirection {
  ToTarget = 'to-target',
  FromTarget = 'from-target',
}

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  readonly ways: Readonly<Record<RelayDirection, RelayWay>>;
}

/** Node resets a connection only once it is established, which may never happen. */
function reset(socket: Socket): void {
  if (socket.connecting) socket.destroy();
  else resetConnection(socket);
}

function resetPair({ near, far }: Pair): void {
  reset(near);
  reset(far);
}

/** Relays every connection to one port. */
export class TcpRelay {
  readonly #host: string;

  readonly #targetPort: number;

  readonly #server: net.Server;

  readonly #pairs = new Set<Pair>();

  readonly #held = new Set<RelayDirection>();

  /** Time that bytes take beyond that of the network, each way. */
  delayMs = 0;

  constructor(host: string, targetPort: number) {
    this.#host = host;
    this.#targetPort = targetPort;
    this.#server = net.createServer({ allowHalfOpen: true }, (near) => this.#relay(near));
  }

  /** Connections that pass bytes on or are silent. */
  get size(): number {
    return this.#pairs.size;
  }

  /** @returns the port to connect to */
  start(): Promise<number> {
    return new Promise((resolve) => {
      this.#server.listen(0, this.#host, () => {
        resolve((this.#server.address() as AddressInfo).port);
      });
    });
  }

  /** Resets all connections; new ones pass. */
  cut(): void {
    this.#pairs.forEach(resetPair);
  }

  /** Lets all connections go silent for good; new ones pass. */
  silence(): void {
    this.#pairs.forEach(({ ways }) => Object.values(ways).forEach((way) => way.silence()));
  }

  /** Passes nothing on in one direction, on new connections neither, until it is released. */
  hold(direction: RelayDirection): void {
    this.#held.add(direction);
    this.#pairs.forEach(({ ways }) => ways[direction].hold());
  }

  /** Passes on again, first what was held. */
  release(direction: RelayDirection): void {
    this.#held.delete(direction);
    this.#pairs.forEach(({ ways }) => ways[direction].release());
  }

  stop(): Promise<void> {
    this.#pairs.forEach(({ near, far }) => [near, far].forEach((socket) => socket.destroy()));
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
    });
  }

  #relay(near: Socket): void {
    const far = net.connect({ port: this.#targetPort, host: this.#host, allowHalfOpen: true });
    const readDelayMs = () => this.delayMs;
    const ways = {
      [RelayDirection.ToTarget]: new RelayWay(near, far, readDelayMs),
      [RelayDirection.FromTarget]: new RelayWay(far, near, readDelayMs),
    };
    const pair = { near, far, ways };
    this.#pairs.add(pair);
    this.#held.forEach((direction) => ways[direction].hold());
    [near, far].forEach((socket) => {
      socket.on('error', () => resetPair(pair));
      socket.on('close', (hadError) => this.#forget(pair, hadError));
    });
  }

  /** A side that has closed has told the other one its end; a broken one breaks the other. */
  #forget(pair: Pair, hadError: boolean): void {
    if (hadError) resetPair(pair);
    if (pair.near.destroyed && pair.far.destroyed) this.#pairs.delete(pair);
  }
}
