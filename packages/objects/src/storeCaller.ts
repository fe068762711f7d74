/**
 * Calls of an object store over HTTP, and what a failed one leaves open.
 *
 * Calls share kept connections. Each watch has a connection of its own, as connections can go
 * silent for good: a watch ends shortly after the time for which the store may hold it.
 */
import { Agent } from 'node:http';

import { Err, type Result } from '@radishbay/core/outcome.js';
import { StoreErrorKind, type StoreError } from '@radishbay/core/ports/objectStore.js';

import { sendCall, type HttpAnswer } from './httpCall.js';
import { dropIdleConnections, findErrorKind } from './storeAnswer.js';

const JSON_CONTENT = { 'content-type': 'application/json' };

export interface StoreCallerOptions {
  readonly headers: Readonly<Record<string, string>>;
  /** Longest wait for the answer to any call but a watch. */
  readonly callTimeoutMs: number;
  /** Time beyond a watch's own wait after which its connection counts as silent. */
  readonly watchMarginMs: number;
  readonly connectionLimit: number;
}

export interface StoreCall {
  readonly method: string;
  readonly url: URL;
  /** Sent as JSON. */
  readonly body?: unknown;
  /** Set on a watch only. */
  readonly waitMs?: number;
}

/** An error after which a write may have taken effect. */
export function describeLost(method: string, detail: string): StoreError {
  const kind = method === 'GET' ? StoreErrorKind.Unavailable : StoreErrorKind.Unknown;
  return { kind, detail };
}

/** What the status of a failed call proves. */
export function describeStatus(method: string, status: number, detail: string): StoreError {
  const kind = findErrorKind(status);
  return kind === undefined ? describeLost(method, detail) : { kind, detail };
}

/** Connections to one store. */
export class StoreCaller {
  readonly #options: StoreCallerOptions;

  readonly #agent: Agent;

  constructor(options: StoreCallerOptions) {
    this.#options = options;
    this.#agent = new Agent({ keepAlive: true, maxSockets: options.connectionLimit });
  }

  /** @returns the answer with any status, or why there is none */
  async send(call: StoreCall): Promise<Result<HttpAnswer, StoreError>> {
    const { headers, callTimeoutMs, watchMarginMs } = this.#options;
    const isWatch = call.waitMs !== undefined;
    const answer = await sendCall({
      method: call.method,
      url: call.url,
      headers: call.body === undefined ? headers : { ...headers, ...JSON_CONTENT },
      body: call.body === undefined ? undefined : JSON.stringify(call.body),
      timeoutMs: isWatch ? call.waitMs + watchMarginMs : callTimeoutMs,
      agent: isWatch ? false : this.#agent,
    });
    if (answer.ok) return answer;
    const { isSent, detail } = answer.val;
    dropIdleConnections(this.#agent);
    if (isSent) return Err(describeLost(call.method, detail));
    return Err({ kind: StoreErrorKind.Unavailable, detail });
  }

  /** Closes all connections; calls in progress fail. */
  close(): void {
    this.#agent.destroy();
  }
}
