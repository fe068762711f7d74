/**
 * The HTTP server for callers and for the balancer's health checks.
 *
 * It reads bodies within their limit, parses, and hands requests to the entry; what cannot be
 * parsed is refused here, with a counter for each reason.
 */
import http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import { Outcome, RefusalReason, type Refusal } from '@radishbay/core/model/reason.js';
import type { CallerRequest } from '@radishbay/core/model/request.js';
import { Err, Ok, type Result } from '@radishbay/core/outcome.js';
import type { Caller } from '@radishbay/core/ports/caller.js';
import type { Metrics } from '@radishbay/core/ports/metrics.js';

import { HttpCaller } from './httpCaller.js';
import { formatProblem, readStatus, writeProblem } from './problem.js';
import { parseCallerRequest, type ParseFault } from './requestParser.js';

/** Time for a whole request to arrive. */
const REQUEST_TIMEOUT_MS = 60_000;
const HEADERS_TIMEOUT_MS = 15_000;

export interface CallerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly bodyLimitBytes: number;
  readonly headerLimitBytes: number;
  readonly connectionLimit: number;
  readonly metrics: Metrics;
  readonly accept: (request: CallerRequest, caller: Caller) => void;
  /** Whether the balancer may send new requests here. */
  readonly isReady: () => boolean;
}

function refusalOf(fault: ParseFault): Refusal {
  return { ...fault, outcome: Outcome.NotRun, retryAfterMs: 0 };
}

/** Serves callers. */
export class CallerServer {
  readonly #options: CallerServerOptions;

  readonly #server: http.Server;

  #lastId = 0;

  #isClosing = false;

  constructor(options: CallerServerOptions) {
    this.#options = options;
    this.#server = http.createServer(
      {
        maxHeaderSize: options.headerLimitBytes,
        requestTimeout: REQUEST_TIMEOUT_MS,
        headersTimeout: HEADERS_TIMEOUT_MS,
        noDelay: true,
      },
      (message, response) => this.#serve(message, response),
    );
    this.#server.maxConnections = options.connectionLimit;
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) =>
      this.#refuseBroken(error, socket as Socket),
    );
  }

  /** @returns the port, or why it cannot listen */
  start(): Promise<Result<number, string>> {
    return new Promise((resolve) => {
      this.#server.once('error', (error) => resolve(Err(error.message)));
      this.#server.listen(this.#options.port, this.#options.host, () =>
        resolve(Ok((this.#server.address() as AddressInfo).port)),
      );
    });
  }

  /**
   * Asks callers to close their connections: every answer from now on says so. An idle connection
   * stays open meanwhile, as a request may be on its way on it.
   */
  beginClose(): void {
    this.#isClosing = true;
  }

  /** Stops listening and waits for the answers in progress. */
  stop(): Promise<void> {
    this.#isClosing = true;
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeIdleConnections();
    });
  }

  #serve(message: http.IncomingMessage, response: http.ServerResponse): void {
    const arrivedAtMs = Date.now();
    if (this.#isClosing) response.setHeader('connection', 'close');
    if (this.#serveHealth(message, response)) return;
    this.#readBody(message, response, (body) => {
      this.#lastId += 1;
      const parsed = parseCallerRequest(`r${this.#lastId}`, message, body, arrivedAtMs);
      if (!parsed.ok) {
        this.#refuse(response, parsed.val);
        return;
      }
      this.#options.accept(parsed.val, new HttpCaller(response));
    });
  }

  #serveHealth(message: http.IncomingMessage, response: http.ServerResponse): boolean {
    if (message.url !== '/healthz' && message.url !== '/readyz') return false;
    const isOk = message.url === '/healthz' || this.#options.isReady();
    response.writeHead(isOk ? 200 : 503, { 'content-type': 'text/plain' });
    response.end(isOk ? 'ok\n' : 'not ready\n');
    return true;
  }

  #readBody(
    message: http.IncomingMessage,
    response: http.ServerResponse,
    onBody: (body: Buffer) => void,
  ): void {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    let isRefused = false;
    message.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes <= this.#options.bodyLimitBytes) {
        chunks.push(chunk);
        return;
      }
      if (isRefused) return;
      isRefused = true;
      const detail = `the body is larger than ${this.#options.bodyLimitBytes} bytes`;
      response.setHeader('connection', 'close');
      this.#refuse(response, { reason: RefusalReason.BodyTooLarge, detail });
    });
    message.on('end', () => {
      if (!isRefused) onBody(Buffer.concat(chunks));
    });
    // A caller that hangs up while it sends is nobody's request yet.
    message.on('error', () => {});
  }

  #refuse(response: http.ServerResponse, fault: ParseFault): void {
    this.#options.metrics.count('refusal', { reason: fault.reason });
    writeProblem(response, refusalOf(fault));
  }

  /** Answers what Node's parser could not read; there is no response object then. */
  #refuseBroken(error: NodeJS.ErrnoException, socket: Socket): void {
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    const isHeader = error.code === 'HPE_HEADER_OVERFLOW';
    const refusal = refusalOf({
      reason: isHeader ? RefusalReason.HeadersTooLarge : RefusalReason.MalformedRequest,
      detail: isHeader ? 'the headers are too large' : 'the request is no HTTP',
    });
    this.#options.metrics.count('refusal', { reason: refusal.reason });
    const status = readStatus(refusal);
    const body = formatProblem(refusal);
    socket.end(
      `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}\r\nconnection: close\r\n` +
        `content-type: application/problem+json\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
    );
  }
}
