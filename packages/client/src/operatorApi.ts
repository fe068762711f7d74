/**
 * The operator interface of the entries, with the next entry tried where one is not reached.
 *
 * A call that may have had an effect is never sent to a second entry.
 */
import {
  OrderErrorKind,
  type OperatorOrder,
  type OrderReceipt,
  type OrderStatus,
} from '@radishbay/core/model/order.js';
import type { QueryKind, QueryRow } from '@radishbay/core/model/query.js';
import { Err, Ok, type Result } from '@radishbay/core/outcome.js';
import { sendCall, type HttpAnswer } from '@radishbay/objects/httpCall.js';

import { FailureKind, classifyReason, type Failure } from './failure.js';

const PATH = '/operator/v1';

/** Statuses of the server's side leave open what became of an order. */
const SERVER_ERROR = 500;

type JsonObject = Readonly<Record<string, unknown>>;

/** An order as it travels; the entry adds the operator whose token it is. */
export type OrderBody = Omit<OperatorOrder, 'by'>;

export interface OperatorApiOptions {
  /** Base URLs of the entries' operator interfaces, in the order in which they are tried. */
  readonly entries: readonly string[];
  readonly token: string;
  /** Longest wait for one entry's answer. */
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

/** Reads the error of an answer; without one, the status decides. */
function describeRefusal(call: Call, answer: HttpAnswer): Failure {
  const error = parseJson(answer.text)?.error as JsonObject | undefined;
  const reason = Object.values(OrderErrorKind).find((kind) => kind === error?.kind);
  const detail = typeof error?.detail === 'string' ? error.detail : `status ${answer.status}`;
  if (reason !== undefined) return { kind: classifyReason(reason), reason, detail };
  if (answer.status < SERVER_ERROR) return { kind: FailureKind.Refused, reason, detail };
  const kind = call.method === 'POST' ? FailureKind.Unknown : FailureKind.Unreachable;
  return { kind, reason, detail };
}

/** Client of the operator interface. */
export class OperatorApi {
  readonly #options: OperatorApiOptions;

  constructor(options: OperatorApiOptions) {
    this.#options = options;
  }

  /** Asks for rows; a filter keeps those whose field has the value. */
  async query(
    kind: QueryKind,
    filters: Readonly<Record<string, string>>,
  ): Promise<Result<readonly QueryRow[], Failure>> {
    const search = new URLSearchParams(filters).toString();
    const path = `${PATH}/query/${kind}${search === '' ? '' : `?${search}`}`;
    const body = await this.#send({ method: 'GET', path });
    return body.map((value) => (Array.isArray(value.rows) ? (value.rows as QueryRow[]) : []));
  }

  /**
   * Gives an order under an id of the client's own, so that it can be read back.
   *
   * @param orderId unique for each order
   */
  async give(order: OrderBody, orderId: string): Promise<Result<OrderReceipt, Failure>> {
    const body = await this.#send({
      method: 'POST',
      path: `${PATH}/orders`,
      headers: { 'x-order-id': orderId },
      body: JSON.stringify(order),
    });
    return body.map((value) => value as unknown as OrderReceipt);
  }

  /** Reads an order back. */
  async read(orderId: string): Promise<Result<OrderStatus, Failure>> {
    const path = `${PATH}/orders/${encodeURIComponent(orderId)}`;
    const body = await this.#send({ method: 'GET', path });
    return body.map((value) => value as unknown as OrderStatus);
  }

  async #send(call: Call): Promise<Result<JsonObject, Failure>> {
    const none: Result<JsonObject, Failure> = Err({
      kind: FailureKind.Unreachable,
      reason: undefined,
      detail: 'no entry is named',
    });
    return this.#options.entries.reduce<Promise<Result<JsonObject, Failure>>>(
      async (earlier, entry) => {
        const result = await earlier;
        if (result.ok || result.val.kind !== FailureKind.Unreachable) return result;
        return this.#sendTo(entry, call);
      },
      Promise.resolve(none),
    );
  }

  async #sendTo(entry: string, call: Call): Promise<Result<JsonObject, Failure>> {
    const answer = await sendCall({
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
    if (!answer.ok) {
      const isLost = answer.val.isSent && call.method === 'POST';
      const kind = isLost ? FailureKind.Unknown : FailureKind.Unreachable;
      return Err({ kind, reason: undefined, detail: `${entry}: ${answer.val.detail}` });
    }
    if (answer.val.status >= 300) return Err(describeRefusal(call, answer.val));
    const value = parseJson(answer.val.text);
    if (value) return Ok(value);
    const kind = call.method === 'POST' ? FailureKind.Unknown : FailureKind.Unreachable;
    return Err({ kind, reason: undefined, detail: `${entry}: the answer is not JSON` });
  }
}
