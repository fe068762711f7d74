/**
 * Calls to an object store over HTTP, and the errors of failed calls.
 *
 * Reads share a pool of keep-alive connections. Each write has its own, on which no copy of an
 * earlier response can stand for its own. Each watch has its own connection as well, and times out
 * shortly after the time for which the store may hold it, as a connection can stop responding
 * permanently without closing.
 */
import { Agent } from 'node:http';

import { Err, type Result } from '@radishbay/core/outcome.js';
import { StoreErrorKind, type StoreError } from '@radishbay/core/ports/objectStore.js';

import { sendCall, type HttpResponse } from './httpCall.js';
import { closeIdleConnections, findErrorKind } from './storeResponse.js';

const JSON_HEADERS = { 'content-type': 'application/json' };

export interface StoreCallerOptions {
  /** Headers of every request. */
  readonly headers: Readonly<Record<string, string>>;
  /** Timeout of all calls except watches. */
  readonly callTimeoutMs: number;
  /** Time after the end of a watch's own wait at which the call fails. */
  readonly watchMarginMs: number;
  /** Size of an answer from which a call fails; 64 MiB by default. */
  readonly responseLimitBytes?: number;
  /** Maximum number of pooled connections to the store; watches are not counted. */
  readonly connectionLimit: number;
}

/** One call to the store. */
export interface StoreCall {
  readonly method: string;
  readonly url: URL;
  /** Sent as JSON. */
  readonly body?: unknown;
  /** Time for which the store may hold a watch; undefined for all other calls. */
  readonly waitMs?: number;
}

/** Creates the error of a call whose outcome is unknown: a write may have taken effect. */
export function createUncertainError(method: string, detail: string): StoreError {
  const kind = method === 'GET' ? StoreErrorKind.Unavailable : StoreErrorKind.Unknown;
  return { kind, detail };
}

/** Creates the error of a failed call from the status of its response. */
export function createStatusError(method: string, status: number, detail: string): StoreError {
  const kind = findErrorKind(status);
  return kind === undefined ? createUncertainError(method, detail) : { kind, detail };
}

/** Sends calls to one store and owns the connections to it. */
export class StoreCaller {
  readonly #options: StoreCallerOptions;

  readonly #agent: Agent;

  constructor(options: StoreCallerOptions) {
    this.#options = options;
    this.#agent = new Agent({ keepAlive: true, maxSockets: options.connectionLimit });
  }

  /** @returns the response with any status, or why there is none */
  async send(call: StoreCall): Promise<Result<HttpResponse, StoreError>> {
    const { headers, callTimeoutMs, watchMarginMs, responseLimitBytes } = this.#options;
    const isWatch = call.waitMs !== undefined;
    const response = await sendCall({
      method: call.method,
      url: call.url,
      headers: call.body === undefined ? headers : { ...headers, ...JSON_HEADERS },
      body: call.body === undefined ? undefined : JSON.stringify(call.body),
      timeoutMs: isWatch ? call.waitMs + watchMarginMs : callTimeoutMs,
      ...(responseLimitBytes !== undefined && { responseLimitBytes }),
      agent: isWatch || call.method !== 'GET' ? false : this.#agent,
    });
    if (response.ok) return response;
    const { isSent, detail } = response.val;
    closeIdleConnections(this.#agent);
    if (isSent) return Err(createUncertainError(call.method, detail));
    return Err({ kind: StoreErrorKind.Unavailable, detail });
  }

  /** Closes all connections; calls in progress fail. */
  close(): void {
    this.#agent.destroy();
  }
}
