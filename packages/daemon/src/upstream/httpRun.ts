/**
 * One call to an upstream over HTTP.
 *
 * Each call uses a new connection: if the upstream closed a keep-alive connection just as it was
 * reused, the outcome of the request would be unknown. A call that fails before the connection is
 * established has sent nothing.
 */
import http from 'node:http';

import {
  EngineFailureKind,
  type EngineCall,
  type EngineEvents,
  type EngineRun,
} from '@radishbay/core/ports/engine.js';
import { parseRequestLimit } from '@radishbay/core/model/namedLimit.js';
import type { HeaderMap } from '@radishbay/core/model/request.js';
import { HEAD_BYTES_MAX, ResponseReader } from '@radishbay/objects/responseReader.js';

import { readHeader } from '../callers/headers.js';

/** Statuses by which a model engine declines a request without starting it. */
const DECLINED_STATUSES = new Set([429, 503]);

/** Requests per second that the upstream takes; any of its answers may carry it. */
const REQUEST_LIMIT_HEADER = 'x-request-limit';

/** Hop-by-hop headers (RFC 9110, 7.6.1) and headers that Node sets itself. */
const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Selects the end-to-end headers; joins repeated ones with commas. */
export function pickEndToEndHeaders(headers: http.IncomingHttpHeaders): HeaderMap {
  const hopHeaders = new Set(headers.connection?.toLowerCase().split(/\s*,\s*/u));
  const endToEndHeaders = Object.entries(headers).flatMap(([name, value]): [string, string][] => {
    if (value === undefined || HOP_BY_HOP_HEADERS.has(name) || hopHeaders.has(name)) return [];
    return [[name, Array.isArray(value) ? value.join(', ') : value]];
  });
  return Object.fromEntries(endToEndHeaders);
}

/** A call in progress; reports its end, failure or fault, unless it is cancelled. */
export class HttpRun implements EngineRun {
  readonly #events: EngineEvents;

  readonly #isModel: boolean;

  readonly #request: http.ClientRequest;

  readonly #reader: ResponseReader;

  #isConnected = false;

  /**
   * Starts the call.
   *
   * @param isModel whether status 429 and 503 mean that the upstream did not start the request
   */
  constructor(url: URL, call: EngineCall, isModel: boolean, events: EngineEvents) {
    this.#events = events;
    this.#isModel = isModel;
    this.#request = http.request(url, {
      method: call.method,
      agent: false,
      maxHeaderSize: HEAD_BYTES_MAX,
      insecureHTTPParser: false,
      headers: {
        ...call.headers,
        'content-length': String(call.body.byteLength),
        'x-attempt-id': call.attemptId,
        'x-priority': String(call.priority),
      },
    });
    this.#request.once('socket', (socket) => {
      socket.setNoDelay(true);
      socket.once('connect', () => {
        this.#isConnected = true;
      });
    });
    this.#reader = new ResponseReader(this.#request, {
      onHead: (response) => this.#handleHead(response),
      onData: events.onData,
      onEnd: events.onEnd,
      onFailure: ({ detail }) => events.onFailure({ kind: this.#connectionFailureKind, detail }),
      onFault: events.onFault,
    });
    this.#request.end(call.body);
  }

  cancel(): void {
    this.#reader.stop();
    this.#request.destroy();
  }

  pause(): void {
    this.#reader.pause();
  }

  resume(): void {
    this.#reader.resume();
  }

  get #connectionFailureKind(): EngineFailureKind {
    return this.#isConnected ? EngineFailureKind.Lost : EngineFailureKind.NotSent;
  }

  #handleHead(response: http.IncomingMessage): void {
    const status = response.statusCode ?? 0;
    this.#events.onRequestLimit?.(
      parseRequestLimit(REQUEST_LIMIT_HEADER, readHeader(response, REQUEST_LIMIT_HEADER)),
    );
    if (this.#isModel && DECLINED_STATUSES.has(status)) {
      this.cancel();
      this.#events.onFailure({
        kind: EngineFailureKind.Declined,
        detail: `the upstream declined the request with status ${status}`,
      });
    } else this.#events.onHead(status, pickEndToEndHeaders(response.headers));
  }
}
