/**
 * The HTTP server for callers and for the balancer's health checks.
 *
 * It reads bodies within their limit, parses, and hands requests to the entry; what cannot be
 * parsed is refused here, with a counter for each reason.
 */
import http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import { Outcome, RefusalReason, type Refusal } from '@radishbay/core/model/reason.js';
import { Err, Ok, type Result } from '@radishbay/core/outcome.js';
import type { Caller } from '@radishbay/core/ports/caller.js';
import type { Metrics } from '@radishbay/core/ports/metrics.js';

import { HttpCaller } from './httpCaller.js';
import { formatProblem, readStatus, writeProblem, type RetryAfterFormat } from './problem.js';
import type { ParseFault } from './requestParser.js';

/** Time for a whole request to arrive. */
const REQUEST_TIMEOUT_MS = 60_000;

/** Largest headers that are read, so that too large ones can be refused by name. */
const HEADER_READ_BYTES = 64 * 1024;

/** What a caller may send, and how long it may take; read for each request. */
export interface ServerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  /** How long a connection may be idle between requests. */
  readonly idleTimeoutMs: number;
}

/** Turns what arrived into a request. */
export type ParseRequest<R> = (
  message: http.IncomingMessage,
  body: Buffer,
  arrivedAtMs: number,
) => Result<R, ParseFault>;

export interface CallerServerOptions<R> {
  readonly host: string;
  readonly port: number;
  readonly connectionLimit: number;
  readonly metrics: Metrics;
  readonly readLimits: () => ServerLimits;
  /** Clock by which arrivals are timed. */
  readonly readNowMs: () => number;
  readonly parse: ParseRequest<R>;
  readonly accept: (request: R, caller: Caller) => void;
  /** Whether the balancer may send new requests here; without it health checks are not served. */
  readonly isReady?: () => boolean;
  /** How a refusal tells when to come back. */
  readonly retryAfterFormat?: RetryAfterFormat;
}

function refusalOf(fault: ParseFault): Refusal {
  return { ...fault, outcome: Outcome.NotRun, retryAfterMs: 0 };
}

/** Bytes of the header fields with their separators. */
function countHeaderBytes({ rawHeaders }: http.IncomingMessage): number {
  return rawHeaders.reduce((sum, part) => sum + part.length + 2, 0);
}

/** Serves callers. */
export class CallerServer<R> {
  readonly #options: CallerServerOptions<R>;

  readonly #server: http.Server;

  #isClosing = false;

  constructor(options: CallerServerOptions<R>) {
    this.#options = options;
    this.#server = http.createServer(
      {
        maxHeaderSize: HEADER_READ_BYTES,
        requestTimeout: REQUEST_TIMEOUT_MS,
        noDelay: true,
      },
      (message, response) => this.#serve(message, response),
    );
    this.#server.maxConnections = options.connectionLimit;
    this.#applyLimits(options.readLimits());
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
    const { parse, accept, readNowMs, readLimits, retryAfterFormat } = this.#options;
    const arrivedAtMs = readNowMs();
    const limits = readLimits();
    this.#applyLimits(limits);
    if (this.#isClosing) response.setHeader('connection', 'close');
    if (this.#serveHealth(message, response)) return;
    if (countHeaderBytes(message) > limits.headerBytes) {
      const detail = `the headers are larger than ${limits.headerBytes} bytes`;
      this.#refuseAndClose(response, { reason: RefusalReason.HeadersTooLarge, detail });
      return;
    }
    this.#readBody(message, response, limits.bodyBytes, (body) => {
      const parsed = parse(message, body, arrivedAtMs);
      if (!parsed.ok) this.#refuse(response, parsed.val);
      else accept(parsed.val, new HttpCaller(response, retryAfterFormat));
    });
  }

  /** Limits come with the configuration, which changes while the server runs. */
  #applyLimits(limits: ServerLimits): void {
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  #serveHealth(message: http.IncomingMessage, response: http.ServerResponse): boolean {
    const { isReady } = this.#options;
    if (!isReady || (message.url !== '/healthz' && message.url !== '/readyz')) return false;
    const isOk = message.url === '/healthz' || isReady();
    response.writeHead(isOk ? 200 : 503, { 'content-type': 'text/plain' });
    response.end(isOk ? 'ok\n' : 'not ready\n');
    return true;
  }

  #readBody(
    message: http.IncomingMessage,
    response: http.ServerResponse,
    limitBytes: number,
    onBody: (body: Buffer) => void,
  ): void {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    let isRefused = false;
    message.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes <= limitBytes) {
        chunks.push(chunk);
        return;
      }
      if (isRefused) return;
      isRefused = true;
      const detail = `the body is larger than ${limitBytes} bytes`;
      this.#refuseAndClose(response, { reason: RefusalReason.BodyTooLarge, detail });
    });
    message.on('end', () => {
      if (!isRefused) onBody(Buffer.concat(chunks));
    });
    // A caller that hangs up while it sends is nobody's request yet.
    message.on('error', () => {});
  }

  #refuseAndClose(response: http.ServerResponse, fault: ParseFault): void {
    response.setHeader('connection', 'close');
    this.#refuse(response, fault);
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
