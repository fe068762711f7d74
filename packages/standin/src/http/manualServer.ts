/** An upstream whose responses are written by the test, byte by byte. */
import type net from 'node:net';

import { resetConnection } from '@radishbay/objects/connectionReset.js';

import { RawServer } from './rawServer.js';

/** Paths that a side process polls on a model upstream, and the responses. */
const POLLED: readonly (readonly [string, unknown])[] = [
  [
    'GET /load',
    {
      engineIncarnation: 'manual-1',
      running: 0,
      queued: 0,
      kvUsedShare: 0,
      isWarm: true,
      tokensPerSecond: 0,
      models: [],
    },
  ],
  ['GET /cache-events', { events: [] }],
];

function findPolled(head: string): string | undefined {
  const [, value] = POLLED.find(([start]) => head.startsWith(start)) ?? [];
  return value === undefined ? undefined : JSON.stringify(value);
}

/** Keeps the connection of each request for the test; answers polls by itself. */
export class ManualServer extends RawServer {
  /** Whether requests are reset as they arrive. */
  isBroken = false;

  readonly #requests: net.Socket[] = [];

  /** @returns the connection of the oldest request that was not taken yet */
  takeRequest(): net.Socket | undefined {
    return this.#requests.shift();
  }

  protected override accept(socket: net.Socket): void {
    socket.setNoDelay(true);
    let isKept = false;
    socket.on('data', (data) => {
      const body = findPolled(data.toString('latin1'));
      if (body !== undefined) {
        socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
      } else if (this.isBroken) resetConnection(socket);
      else if (!isKept) {
        isKept = true;
        this.#requests.push(socket);
      }
    });
  }
}
