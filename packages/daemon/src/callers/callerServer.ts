/**
 * The HTTP server for callers and for the balancer's health checks.
 *
 * It judges the heads of requests and hands them to its intake; what is out of order is refused
 * here, with a counter for each reason.
 */
import http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import { Outcome, RefusalReason, type Refusal } from '@radishbay/core/model/reason.js';
import { Err, Ok, type Result } from '@radishbay/core/outcome.js';
import type { Metrics } from '@radishbay/core/ports/metrics.js';

import { describeTooLarge, discardBody } from './discardBody.js';
import type { RequestHandler } from './requestHandler.js';
import { formatProblem, getStatusCode, writeProblem } from './problem.js';
import type { ParseFault } from './requestParser.js';

/** Time for a whole request to arrive. */
const REQUEST_TIMEOUT_MS = 60_000;

/** Interval at which connections are looked at for timeouts; Node's own is half a minute. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;

/** Largest headers that are read, so that too large ones can be refused by name. */
const PARSER_HEADER_BYTES_MAX = 64 * 1024;

/** What a caller may send, and how long it may take; read for each request. */
export interface ServerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  /** How long a connection may be idle between requests. */
  readonly idleTimeoutMs: number;
}

export interface CallerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly connectionLimit: number;
  readonly metrics: Metrics;
  readonly getLimits: () => ServerLimits;
  /** Clock by which arrivals are timed. */
  readonly getNowMs: () => number;
  readonly requestHandler: RequestHandler;
  /** Whether the balancer may send new requests here; without it health checks are not served. */
  readonly isReady?: () => boolean;
}

function createRefusal(fault: ParseFault): Refusal {
  return { ...fault, outcome: Outcome.NotRun, retryAfterMs: 0 };
}

/** Why Node's parser could not read a request. */
function describeClientError({ code }: NodeJS.ErrnoException): ParseFault {
  if (code === 'HPE_HEADER_OVERFLOW') {
    return { reason: RefusalReason.HeadersTooLarge, detail: 'the headers are too large' };
  }
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') {
    return { reason: RefusalReason.RequestTooSlow, detail: 'the request took too long to arrive' };
  }
  return { reason: RefusalReason.MalformedRequest, detail: 'the request is no HTTP' };
}

/** Bytes of the header fields with their separators. */
function countHeaderBytes({ rawHeaders }: http.IncomingMessage): number {
  return rawHeaders.reduce((sum, part) => sum + part.length + 2, 0);
}

/** Serves callers. */
export class CallerServer {
  readonly #options: CallerServerOptions;

  readonly #server: http.Server;

  #isClosing = false;

  constructor(options: CallerServerOptions) {
    this.#options = options;
    this.#server = http.createServer(
      {
        maxHeaderSize: PARSER_HEADER_BYTES_MAX,
        requestTimeout: REQUEST_TIMEOUT_MS,
        connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
        noDelay: true,
      },
      (message, response) => this.#serve(message, response),
    );
    this.#server.maxConnections = options.connectionLimit;
    this.#applyLimits(options.getLimits());
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) =>
      this.#handleClientError(error, socket as Socket),
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
    const { requestHandler, getNowMs: readNowMs, getLimits: readLimits } = this.#options;
    const arrivedAtMs = readNowMs();
    const limits = readLimits();
    this.#applyLimits(limits);
    if (this.#isClosing) response.setHeader('connection', 'close');
    if (this.#serveHealth(message, response)) return;
    if (countHeaderBytes(message) > limits.headerBytes) {
      const detail = `the headers are larger than ${limits.headerBytes} bytes`;
      response.setHeader('connection', 'close');
      this.#refuse(response, { reason: RefusalReason.HeadersTooLarge, detail });
      return;
    }
    if (Number(message.headers['content-length'] ?? 0) > limits.bodyBytes) {
      this.#refuse(response, describeTooLarge(limits.bodyBytes));
      discardBody(message);
      return;
    }
    requestHandler.handle({
      message,
      response,
      arrivedAtMs,
      bodyLimitBytes: limits.bodyBytes,
      refuse: (fault) => this.#refuse(response, fault),
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

  #refuse(response: http.ServerResponse, fault: ParseFault): void {
    this.#options.metrics.count('refusal', { reason: fault.reason });
    writeProblem(response, createRefusal(fault));
  }

  /** Answers what Node's parser could not read; there is no response object then. */
  #handleClientError(error: NodeJS.ErrnoException, socket: Socket): void {
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    const refusal = createRefusal(describeClientError(error));
    this.#options.metrics.count('refusal', { reason: refusal.reason });
    const status = getStatusCode(refusal);
    const body = formatProblem(refusal);
    socket.end(
      `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}\r\nconnection: close\r\n` +
        `content-type: application/problem+json\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
    );
  }
}
