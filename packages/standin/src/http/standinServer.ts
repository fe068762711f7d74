/** What the HTTP servers of all stand-ins have in common. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import { parseObject, type JsonObject } from './json.js';

const HOST = '127.0.0.1';
const MAX_BODY_BYTES = 8 * 1024 * 1024;

/** Reads the whole body of a request; rejects where the connection breaks. */
export function readBody(request: IncomingMessage): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    request.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > MAX_BODY_BYTES) request.destroy(new Error('body is too large'));
      else chunks.push(chunk);
    });
    request.on('end', () => {
      resolve(Buffer.concat(chunks));
    });
    request.on('error', reject);
  });
}

/** Reads a body that is to be a JSON object; undefined where it is not. */
export async function readJson(request: IncomingMessage): Promise<JsonObject | undefined> {
  const body = await readBody(request);
  return parseObject(body.toString('utf8'));
}

/** Answers with JSON. */
export function writeJson(response: ServerResponse, status: number, value: unknown): void {
  const body = Buffer.from(JSON.stringify(value));
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': body.length,
  });
  response.end(body);
}

/** Answers with an error in one sentence. */
export function writeError(response: ServerResponse, status: number, detail: string): void {
  writeJson(response, status, { detail });
}

/** An HTTP server on loopback; subclasses answer its requests. */
export abstract class StandinServer {
  readonly #server = createServer((request, response) => {
    this.#answer(request, response);
  });

  readonly #stopListeners: (() => void)[] = [];

  /**
   * Starts to listen.
   *
   * @param port 0 chooses a free one
   * @returns the port
   */
  start(port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, HOST, () => {
        resolve((this.#server.address() as AddressInfo).port);
      });
    });
  }

  /** Stops at once and breaks all connections. */
  stop(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => {
        this.#stopListeners.forEach((listener) => listener());
        resolve();
      });
      this.breakConnections();
    });
  }

  /** Names a listener for the server having stopped. */
  onStop(listener: () => void): void {
    this.#stopListeners.push(listener);
  }

  /** Breaks all connections; new ones are accepted. */
  protected breakConnections(): void {
    this.#server.closeAllConnections();
  }

  /** Answers one request. */
  protected abstract handle(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
  ): Promise<void> | void;

  async #answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      const url = new URL(request.url ?? '/', `http://${HOST}`);
      await this.handle(request, response, url);
    } catch (error) {
      if (response.headersSent || request.destroyed) response.destroy();
      else writeError(response, 400, error instanceof Error ? error.message : 'bad request');
    }
  }
}
