/** Base class and helpers of the HTTP servers of all stand-ins. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import { parseObject, type JsonObject } from './json.js';

const HOST = '127.0.0.1';
const MAX_BODY_BYTES = 8 * 1024 * 1024;

/**
 * Reads the whole body of a request.
 *
 * Rejects if the connection breaks, or if the body exceeds {@link MAX_BODY_BYTES}.
 */
export function readBody(request: IncomingMessage): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    request.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > MAX_BODY_BYTES) request.destroy(new Error('request body is too large'));
      else chunks.push(chunk);
    });
    request.on('end', () => {
      resolve(Buffer.concat(chunks));
    });
    request.on('error', reject);
  });
}

/** @returns the body of a request, or undefined if it is not a JSON object */
export async function readJson(request: IncomingMessage): Promise<JsonObject | undefined> {
  const body = await readBody(request);
  return parseObject(body.toString('utf8'));
}

/** Sends a response with a JSON body. */
export function writeJson(response: ServerResponse, status: number, value: unknown): void {
  const body = Buffer.from(JSON.stringify(value));
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': body.length,
  });
  response.end(body);
}

/** Sends an error response with the body `{detail}`. */
export function writeError(response: ServerResponse, status: number, detail: string): void {
  writeJson(response, status, { detail });
}

/** An HTTP server on the loopback interface; subclasses handle its requests. */
export abstract class StandinServer {
  readonly #server = createServer((request, response) => {
    this.#answer(request, response);
  });

  readonly #stopListeners: (() => void)[] = [];

  /**
   * Starts listening.
   *
   * @param port port to listen on; 0 selects a free one
   * @returns the port that the server listens on
   */
  start(port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, HOST, () => {
        resolve((this.#server.address() as AddressInfo).port);
      });
    });
  }

  /** Stops listening and closes all connections at once. */
  stop(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => {
        this.#stopListeners.forEach((listener) => listener());
        resolve();
      });
      this.breakConnections();
    });
  }

  /** Adds a listener that is called once the server has stopped. */
  onStop(listener: () => void): void {
    this.#stopListeners.push(listener);
  }

  /** Closes all connections without stopping the server; new ones are still accepted. */
  protected breakConnections(): void {
    this.#server.closeAllConnections();
  }

  /** Handles one request. An error thrown before the headers are sent yields status 400. */
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
