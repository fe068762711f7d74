/** HTTP client for the upstream on this VM. */
import http from 'node:http';

import {
  Engine,
  EngineOrderErrorKind,
  type EngineCall,
  type EngineEvents,
  type EngineOrder,
  type EngineOrderError,
  type EngineRun,
} from '@radishbay/core/ports/engine.js';
import type { CacheEvent, EngineReport } from '@radishbay/core/model/report.js';
import { Err, Ok, type Result } from '@radishbay/core/outcome.js';

import { CACHE_EVENTS, ENGINE_REPORT } from './engineReport.js';
import { HttpRun } from './httpRun.js';
import { callJson, type JsonReply } from './jsonCall.js';

export interface HttpEngineOptions {
  /** Base URL of the upstream, on the loopback interface. */
  readonly url: string;
  /** Whether status 429 and 503 mean that the upstream did not start the request. */
  readonly isModel: boolean;
  /** Timeout of calls that read reports or send orders, in milliseconds. */
  readonly callTimeoutMs: number;
}

/** Calls an upstream over HTTP. */
export class HttpEngine extends Engine {
  readonly #options: HttpEngineOptions;

  readonly #agent = new http.Agent({ keepAlive: true, maxSockets: 4 });

  constructor(options: HttpEngineOptions) {
    super();
    this.#options = options;
  }

  override start(call: EngineCall, events: EngineEvents): EngineRun {
    return new HttpRun(new URL(call.path, this.#options.url), call, this.#options.isModel, events);
  }

  override async readReport(): Promise<Result<EngineReport, string>> {
    const reply = await this.#call('GET', '/load');
    if (!reply.ok) return Err(reply.val);
    const parsed = ENGINE_REPORT.safeParse(reply.val.body);
    return parsed.success ? Ok(parsed.data) : Err(`invalid load report: ${parsed.error.message}`);
  }

  override async readCacheEvents(
    afterSequence: number,
  ): Promise<Result<readonly CacheEvent[], string>> {
    const reply = await this.#call('GET', `/cache-events?after=${afterSequence}`);
    if (!reply.ok) return Err(reply.val);
    const parsed = CACHE_EVENTS.safeParse(reply.val.body);
    return parsed.success
      ? Ok(parsed.data.events)
      : Err(`invalid cache events: ${parsed.error.message}`);
  }

  override async order(
    order: EngineOrder,
  ): Promise<Result<Readonly<Record<string, unknown>>, EngineOrderError>> {
    const reply = await this.#call('POST', '/orders', order);
    if (!reply.ok) {
      return Err({ kind: EngineOrderErrorKind.Unknown, detail: reply.val });
    }
    const { status, body } = reply.val;
    const detail = JSON.stringify(body);
    if (status === 409) return Err({ kind: EngineOrderErrorKind.Fenced, detail });
    if (status >= 400) return Err({ kind: EngineOrderErrorKind.Refused, detail });
    return Ok(body as Readonly<Record<string, unknown>>);
  }

  #call(method: string, path: string, body?: unknown): Promise<Result<JsonReply, string>> {
    return callJson({
      url: new URL(path, this.#options.url),
      method,
      body,
      timeoutMs: this.#options.callTimeoutMs,
      agent: this.#agent,
    });
  }
}
