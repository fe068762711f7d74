/**
 * Client of the entries' operator interface. If an entry is unreachable, the next one is tried.
 *
 * A call that may have taken effect is never sent to another entry.
 */
import {
  OrderErrorKind,
  type OperatorOrder,
  type OrderReceipt,
  type OrderStatus,
} from '@radishbay/core/model/order.js';
import type { QueryKind, QueryRow } from '@radishbay/core/model/query.js';
import { Err, Ok, type Result } from '@radishbay/core/outcome.js';
import { sendCall, type HttpResponse } from '@radishbay/objects/httpCall.js';
import type { z } from 'zod';

import { FailureKind, classifyReason, type Failure } from './failure.js';
import { ORDER_RECEIPT, ORDER_STATUS, QUERY_RESULT } from './operatorAnswer.js';

const API_PATH = '/operator/v1';

/** From this status on, an order may have taken effect or not. */
const SERVER_ERROR_STATUS = 500;

type JsonObject = Readonly<Record<string, unknown>>;

/** Request body of an order; the entry adds the operator that the token belongs to. */
export type OrderBody = Omit<OperatorOrder, 'by'>;

export interface OperatorApiOptions {
  /** Base URLs of the entries' operator interfaces, in the order in which they are tried. */
  readonly entries: readonly string[];
  /** Operator token, sent as a bearer token. */
  readonly token: string;
  /** Timeout of a call to one entry. */
  readonly timeoutMs: number;
}

interface Call {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

function parseJson(text: string): JsonObject | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null ? (value as JsonObject) : undefined;
  } catch {
    return undefined;
  }
}

/** Classifies a failed response by the error in its body, or else by its status. */
function createFailureFromResponse(call: Call, response: HttpResponse): Failure {
  const error = parseJson(response.text)?.error as JsonObject | undefined;
  const reason = Object.values(OrderErrorKind).find((kind) => kind === error?.kind);
  const detail = typeof error?.detail === 'string' ? error.detail : `status ${response.status}`;
  if (reason !== undefined) return { kind: classifyReason(reason), reason, detail };
  if (response.status < SERVER_ERROR_STATUS) return { kind: FailureKind.Refused, reason, detail };
  const kind = call.method === 'POST' ? FailureKind.Unknown : FailureKind.Unreachable;
  return { kind, reason, detail };
}

/** Sends queries and orders to the entries. */
export class OperatorApi {
  readonly #options: OperatorApiOptions;

  constructor(options: OperatorApiOptions) {
    this.#options = options;
  }

  /**
   * Queries rows of one kind.
   *
   * @param filters field values by field name; only rows with all of these values are returned
   */
  async query(
    kind: QueryKind,
    filters: Readonly<Record<string, string>>,
  ): Promise<Result<readonly QueryRow[], Failure>> {
    const search = new URLSearchParams(filters).toString();
    const path = `${API_PATH}/query/${kind}${search === '' ? '' : `?${search}`}`;
    const result = await this.#send({ method: 'GET', path }, QUERY_RESULT);
    return result.map(({ rows }) => rows);
  }

  /**
   * Submits an order under an id chosen by the client, so that it can be read back even if the
   * response is lost.
   *
   * @param orderId unique for each order
   */
  submit(order: OrderBody, orderId: string): Promise<Result<OrderReceipt, Failure>> {
    const call: Call = {
      method: 'POST',
      path: `${API_PATH}/orders`,
      headers: { 'x-order-id': orderId },
      body: JSON.stringify(order),
    };
    return this.#send(call, ORDER_RECEIPT);
  }

  /** Reads the status of an order. */
  read(orderId: string): Promise<Result<OrderStatus, Failure>> {
    const path = `${API_PATH}/orders/${encodeURIComponent(orderId)}`;
    return this.#send({ method: 'GET', path }, ORDER_STATUS);
  }

  async #send<T>(call: Call, schema: z.ZodType<T>): Promise<Result<T, Failure>> {
    const noEntryFailure: Result<T, Failure> = Err({
      kind: FailureKind.Unreachable,
      reason: undefined,
      detail: 'no entry is named',
    });
    return this.#options.entries.reduce<Promise<Result<T, Failure>>>(async (previous, entry) => {
      const result = await previous;
      if (result.ok || result.val.kind !== FailureKind.Unreachable) return result;
      return this.#sendTo(entry, call, schema);
    }, Promise.resolve(noEntryFailure));
  }

  async #sendTo<T>(entry: string, call: Call, schema: z.ZodType<T>): Promise<Result<T, Failure>> {
    const response = await sendCall({
      method: call.method,
      url: new URL(`${entry.replace(/\/+$/u, '')}${call.path}`),
      headers: {
        'content-type': 'application/json',
        authorization: `Bearer ${this.#options.token}`,
        ...call.headers,
      },
      body: call.body,
      timeoutMs: this.#options.timeoutMs,
      agent: false,
    });
    if (!response.ok) {
      const isLost = response.val.isSent && call.method === 'POST';
      const kind = isLost ? FailureKind.Unknown : FailureKind.Unreachable;
      return Err({ kind, reason: undefined, detail: `${entry}: ${response.val.detail}` });
    }
    if (response.val.status >= 300) return Err(createFailureFromResponse(call, response.val));
    const parsed = schema.safeParse(parseJson(response.val.text));
    if (parsed.success) return Ok(parsed.data);
    const kind = call.method === 'POST' ? FailureKind.Unknown : FailureKind.Unreachable;
    const field = parsed.error.issues[0]?.path.join('.') || 'the whole answer';
    const detail = `${entry}: the answer cannot be decoded, invalid: ${field}`;
    return Err({ kind, reason: undefined, detail });
  }
}
