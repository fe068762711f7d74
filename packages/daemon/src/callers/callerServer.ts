/**
 * The HTTP server for callers and for the balancer's health checks.
 *
 * It checks the headers of requests and passes valid ones to its request handler. Invalid requests
 * are refused here and counted by reason.
 */
import http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import { Outcome, RefusalReason, type Refusal } from '@radishbay/core/model/reason.js';
import { Err, Ok, type Result } from '@radishbay/core/outcome.js';
import type { Metrics } from '@radishbay/core/ports/metrics.js';
import { resetBeforeExit } from '@radishbay/objects/connectionReset.js';

import { ConnectionTable, type ConnectionLimits } from './connectionTable.js';
import { describeTooLarge, discardBody } from './discardBody.js';
import type { RequestHandler } from './requestHandler.js';
import { formatProblem, getStatusCode, writeProblem } from './problem.js';
import type { ParseFault } from './requestParser.js';

/** Timeout for receiving a whole request. */
const REQUEST_TIMEOUT_MS = 60_000;

/** Interval at which connections are checked for timeouts; Node's default is 30 s. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;

/**
 * Size over the limit up to which headers are parsed, so that a refusal can name the limit. It has
 * room for a long URL, which the parser counts as well.
 */
const PARSER_HEADER_MARGIN_BYTES = 8 * 1024;

/** Interval at which connections are checked for heads in progress and what stands still. */
const CONNECTION_CHECK_INTERVAL_MS = 250;

/** Connections that may exceed their limit until closed ones are gone. */
const CONNECTION_MARGIN = 64;

/** Limits that only the number of connections sets. */
const NO_LIMITS: Omit<ConnectionLimits, 'connections'> = {
  connectionsPerAddress: Infinity,
  requests: Infinity,
  requestsPerAddress: Infinity,
  headBytes: Infinity,
  bodyIdleMs: Infinity,
  answerIdleMs: Infinity,
};

/** Size limits and timeouts for callers; read for each request. */
export interface ServerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  /** Keep-alive timeout between requests. */
  readonly idleTimeoutMs: number;
}

export interface CallerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly connectionLimit: number;
  /** Further limits of connections and what they hold; none by default. */
  readonly connectionLimits?: Omit<ConnectionLimits, 'connections'>;
  /** Connections that descriptors allow at present; only `connectionLimit` by default. */
  readonly getAvailableConnections?: () => number;
  /** Called after each check of the connections. */
  readonly onChecked?: (connections: ConnectionTable) => void;
  readonly metrics: Metrics;
  readonly getLimits: () => ServerLimits;
  /** Clock for arrival times, in milliseconds. */
  readonly getNowMs: () => number;
  readonly requestHandler: RequestHandler;
  /** Answers `/readyz`; if undefined, this server does not serve health checks. */
  readonly isReady?: () => boolean;
}

const TOO_MANY_REQUESTS: ParseFault = {
  reason: RefusalReason.MemoryShort,
  detail: 'too many requests are unfinished',
};

/** Retry-After delay, in milliseconds, for callers with too many unfinished requests. */
const CROWDED_RETRY_MS = 1_000;

function createRefusal(fault: ParseFault): Refusal {
  return { ...fault, outcome: Outcome.NotRun, retryAfterMs: 0 };
}

/** Translates an error of Node's HTTP parser into the reason for a refusal. */
function describeClientError({ code }: NodeJS.ErrnoException): ParseFault {
  if (code === 'HPE_HEADER_OVERFLOW') {
    return { reason: RefusalReason.HeadersTooLarge, detail: 'the request headers are too large' };
  }
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') {
    return { reason: RefusalReason.RequestTooSlow, detail: 'the request took too long to arrive' };
  }
  return { reason: RefusalReason.MalformedRequest, detail: 'the request is not valid HTTP' };
}

/** Counts the bytes of the header fields, including their separators. */
function countHeaderBytes({ rawHeaders }: http.IncomingMessage): number {
  return rawHeaders.reduce((sum, part) => sum + part.length + 2, 0);
}

/** HTTP server for callers. */
export class CallerServer {
  readonly #options: CallerServerOptions;

  readonly #server: http.Server;

  readonly #connections: ConnectionTable;

  #checkTimer: NodeJS.Timeout | undefined;

  #appliedLimits: ServerLimits | undefined;

  #isClosing = false;

  constructor(options: CallerServerOptions) {
    this.#options = options;
    this.#connections = new ConnectionTable({
      limits: {
        ...(options.connectionLimits ?? NO_LIMITS),
        connections: options.connectionLimit,
      },
      getNowMs: () => performance.now(),
      getIdleTimeoutMs: () => options.getLimits().idleTimeoutMs,
      getAvailable: options.getAvailableConnections,
      onClose: (reason) => options.metrics.count('connection.closed', { reason }),
    });
    this.#server = http.createServer(
      {
        requestTimeout: REQUEST_TIMEOUT_MS,
        connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
        noDelay: true,
        insecureHTTPParser: false,
      },
      (message, response) => this.#serve(message, response),
    );
    this.#server.maxConnections = options.connectionLimit + CONNECTION_MARGIN;
    this.#server.on('connection', (socket) => this.#connections.add(socket));
    this.#applyLimits(options.getLimits());
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) =>
      this.#handleClientError(error, socket as Socket),
    );
  }

  /** @returns the port, or the reason why the server cannot listen */
  start(): Promise<Result<number, string>> {
    return new Promise((resolve) => {
      this.#server.once('error', (error) => resolve(Err(error.message)));
      this.#checkTimer = setInterval(() => this.#check(), CONNECTION_CHECK_INTERVAL_MS).unref();
      this.#server.listen(this.#options.port, this.#options.host, () =>
        resolve(Ok((this.#server.address() as AddressInfo).port)),
      );
    });
  }

  /**
   * Asks callers to close their connections, by `connection: close` on every response from now on.
   * Idle connections stay open, because a request may already be in transit on them.
   */
  beginClose(): void {
    this.#isClosing = true;
  }

  /** Stops listening and resolves when the requests in flight have been answered. */
  stop(): Promise<void> {
    this.#isClosing = true;
    return new Promise((resolve) => {
      this.#server.close(() => {
        clearInterval(this.#checkTimer);
        resolve();
      });
      this.#server.closeIdleConnections();
    });
  }

  /** Stops listening, resets unfinished requests and closes idle connections, before an exit. */
  abort(): void {
    clearInterval(this.#checkTimer);
    this.#server.close();
    resetBeforeExit(this.#connections.listBusy());
    this.#server.closeAllConnections();
  }

  #check(): void {
    this.#connections.check();
    this.#options.onChecked?.(this.#connections);
  }

  #serve(message: http.IncomingMessage, response: http.ServerResponse): void {
    const { requestHandler, getNowMs: readNowMs, getLimits: readLimits } = this.#options;
    const arrivedAtMs = readNowMs();
    const limits = readLimits();
    this.#applyLimits(limits);
    if (this.#isClosing) response.setHeader('connection', 'close');
    if (this.#serveHealth(message, response)) return;
    const { socket } = message;
    const isWithin = this.#connections.beginRequest(message);
    response.once('close', () => this.#connections.endRequest(socket));
    if (!isWithin) {
      this.#refuse(response, TOO_MANY_REQUESTS, CROWDED_RETRY_MS);
      discardBody(message);
      return;
    }
    if (countHeaderBytes(message) > limits.headerBytes) {
      const detail = `the request headers exceed ${limits.headerBytes} bytes`;
      response.setHeader('connection', 'close');
      this.#refuse(response, { reason: RefusalReason.HeadersTooLarge, detail });
      return;
    }
    if (Number(message.headers['content-length'] ?? 0) > limits.bodyBytes) {
      this.#refuse(response, describeTooLarge(limits.bodyBytes));
      discardBody(message);
      return;
    }
    const account = requestHandler.handle({
      message,
      response,
      arrivedAtMs,
      bodyLimitBytes: limits.bodyBytes,
      refuse: (fault) => this.#refuse(response, fault),
    });
    this.#connections.setAccount(socket, account);
  }

  /** Applies the current timeouts, as the configuration may change while the server runs. */
  #applyLimits(limits: ServerLimits): void {
    if (limits === this.#appliedLimits) return;
    this.#appliedLimits = limits;
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
    // Node reads this option for each connection.
    Object.assign(this.#server, { maxHeaderSize: limits.headerBytes + PARSER_HEADER_MARGIN_BYTES });
  }

  #serveHealth(message: http.IncomingMessage, response: http.ServerResponse): boolean {
    const { isReady } = this.#options;
    if (!isReady || (message.url !== '/healthz' && message.url !== '/readyz')) return false;
    const isOk = message.url === '/healthz' || isReady();
    response.writeHead(isOk ? 200 : 503, { 'content-type': 'text/plain' });
    response.end(isOk ? 'ok\n' : 'not ready\n');
    return true;
  }

  #refuse(response: http.ServerResponse, fault: ParseFault, retryAfterMs = 0): void {
    this.#options.metrics.count('refusal', { reason: fault.reason });
    writeProblem(response, { ...createRefusal(fault), retryAfterMs });
  }

  /**
   * Refuses a request that Node's HTTP parser rejected; there is no response object for it. Where
   * its body is at fault, part of it may have been sent to an upstream: nothing can be promised.
   */
  #handleClientError(error: NodeJS.ErrnoException, socket: Socket): void {
    const isSilent = error.code === 'ECONNRESET' || !socket.writable;
    if (isSilent || this.#connections.isBusy(socket)) {
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
