/**
 * HTTP API of an entry for operators: queries, orders, and the status of an order.
 *
 * Every call must carry an operator's bearer token; orders record the name of its account.
 */
import { createHash, timingSafeEqual } from 'node:crypto';
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { z } from 'zod';

import {
  OrderAction,
  OrderErrorKind,
  type OperatorOrder,
  type OrderError,
  type OrderReceipt,
  type OrderStatus,
} from '@radishbay/core/model/order.js';
import { QueryKind, type QueryRow } from '@radishbay/core/model/query.js';
import { Err, Ok, type Result } from '@radishbay/core/outcome.js';
import type { Metrics } from '@radishbay/core/ports/metrics.js';

const PREFIX = '/operator/v1/';
const BODY_LIMIT_BYTES = 1024 * 1024;

const STATUSES: Readonly<Record<OrderErrorKind, number>> = {
  [OrderErrorKind.Conflict]: 409,
  [OrderErrorKind.Invalid]: 400,
  [OrderErrorKind.NotFound]: 404,
  [OrderErrorKind.Overload]: 422,
  [OrderErrorKind.LastDomain]: 422,
  [OrderErrorKind.PlatformUnavailable]: 503,
  [OrderErrorKind.Unknown]: 504,
};

const ORDER_BODY = z.strictObject({
  action: z.enum(OrderAction),
  target: z.string().min(1),
  params: z.record(z.string(), z.unknown()).default({}),
  isForced: z.boolean().default(false),
});

/** Operations of the entry that the API exposes. */
export interface OperatorBackend {
  readonly query: (
    kind: QueryKind,
    filter: Readonly<Record<string, string>>,
  ) => readonly QueryRow[];
  /**
   * Submits an order.
   *
   * @param orderId chosen by the client, which can query the order if the response is lost
   */
  readonly give: (
    order: OperatorOrder,
    orderId: string | undefined,
  ) => Promise<Result<OrderReceipt, OrderError>>;
  /** Reads the status of an order. */
  readonly read: (orderId: string) => Promise<Result<OrderStatus, OrderError>>;
}

export interface OperatorServerOptions {
  readonly host: string;
  readonly port: number;
  readonly accounts: readonly { readonly name: string; readonly token: string }[];
  readonly metrics: Metrics;
  readonly backend: OperatorBackend;
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

function createInvalidError(detail: string): OrderError {
  return { kind: OrderErrorKind.Invalid, detail, orderId: '' };
}

function writeJson(response: http.ServerResponse, status: number, value: unknown): void {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}

function writeError(response: http.ServerResponse, error: OrderError): void {
  writeJson(response, STATUSES[error.kind], { error });
}

async function readBody(message: http.IncomingMessage): Promise<Result<string, OrderError>> {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  return new Promise((resolve) => {
    message.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes <= BODY_LIMIT_BYTES) chunks.push(chunk);
    });
    message.on('error', () =>
      resolve(Err(createInvalidError('the request body was not fully received'))),
    );
    message.on('end', () => {
      if (sizeBytes > BODY_LIMIT_BYTES) resolve(Err(createInvalidError('the body is too large')));
      else resolve(Ok(Buffer.concat(chunks).toString('utf8')));
    });
  });
}

function parseOrder(text: string, by: string): Result<OperatorOrder, OrderError> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return Err(createInvalidError('the request body is not valid JSON'));
  }
  const parsed = ORDER_BODY.safeParse(value);
  if (parsed.success) return Ok({ ...parsed.data, by });
  const faults = parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`);
  return Err(createInvalidError(faults.join('; ')));
}

/** HTTP server for operators. */
export class OperatorServer {
  readonly #options: OperatorServerOptions;

  readonly #server: http.Server;

  constructor(options: OperatorServerOptions) {
    this.#options = options;
    this.#server = http.createServer({ insecureHTTPParser: false }, (message, response) => {
      this.#serve(message, response).catch((error: unknown) => {
        writeError(response, createInvalidError(String(error)));
      });
    });
  }

  /** @returns the port, or the reason why the server cannot listen */
  start(): Promise<Result<number, string>> {
    return new Promise((resolve) => {
      this.#server.once('error', (error) => resolve(Err(error.message)));
      this.#server.listen(this.#options.port, this.#options.host, () =>
        resolve(Ok((this.#server.address() as AddressInfo).port)),
      );
    });
  }

  /** Stops listening and resolves when the requests in flight have been answered. */
  stop(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeIdleConnections();
    });
  }

  #findOperator(message: http.IncomingMessage): string | undefined {
    const token = /^Bearer\s+(\S+)$/iu.exec(message.headers.authorization ?? '')?.[1];
    if (!token) return undefined;
    const given = digest(token);
    return this.#options.accounts.find((account) => timingSafeEqual(given, digest(account.token)))
      ?.name;
  }

  async #serve(message: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const operator = this.#findOperator(message);
    if (!operator) {
      this.#options.metrics.count('operator.unauthorized');
      writeJson(response, 401, {
        error: createInvalidError('the bearer token does not belong to an operator'),
      });
      return;
    }
    const url = new URL(message.url ?? '/', 'http://localhost');
    const [resource, name] = url.pathname.slice(PREFIX.length).split('/');
    if (!url.pathname.startsWith(PREFIX)) writeError(response, this.#createUnknownPathError(url));
    else if (message.method === 'GET' && resource === 'query') this.#query(url, name, response);
    else if (message.method === 'GET' && resource === 'orders') await this.#read(name, response);
    else if (message.method === 'POST' && resource === 'orders' && !name) {
      await this.#submitOrder(message, operator, response);
    } else writeError(response, this.#createUnknownPathError(url));
  }

  #createUnknownPathError(url: URL): OrderError {
    this.#options.metrics.count('operator.unknown-path');
    return { kind: OrderErrorKind.NotFound, detail: `no such path: ${url.pathname}`, orderId: '' };
  }

  #query(url: URL, name: string | undefined, response: http.ServerResponse): void {
    const kind = Object.values(QueryKind).find((value) => value === name);
    if (!kind) {
      writeError(
        response,
        createInvalidError(`the query kind must be one of ${Object.values(QueryKind).join(', ')}`),
      );
      return;
    }
    const rows = this.#options.backend.query(kind, Object.fromEntries(url.searchParams));
    writeJson(response, 200, { rows });
  }

  async #read(orderId: string | undefined, response: http.ServerResponse): Promise<void> {
    const status = await this.#options.backend.read(decodeURIComponent(orderId ?? ''));
    if (status.ok) writeJson(response, 200, status.val);
    else writeError(response, status.val);
  }

  async #submitOrder(
    message: http.IncomingMessage,
    operator: string,
    response: http.ServerResponse,
  ): Promise<void> {
    const body = await readBody(message);
    const order = body.ok ? parseOrder(body.val, operator) : body;
    if (!order.ok) {
      this.#options.metrics.count('operator.refused', { kind: order.val.kind });
      writeError(response, order.val);
      return;
    }
    const { 'x-order-id': id } = message.headers;
    const receipt = await this.#options.backend.give(
      order.val,
      typeof id === 'string' ? id : undefined,
    );
    if (receipt.ok) {
      writeJson(response, 202, receipt.val);
      return;
    }
    this.#options.metrics.count('operator.refused', { kind: receipt.val.kind });
    writeError(response, receipt.val);
  }
}
