/** HTTP calls of a harness, each on a connection of its own. */
import type { Result } from '@radishbay/core/outcome.js';
import { sendCall, type HttpResponse, type HttpFailure } from '@radishbay/objects/httpCall.js';

/** Longest time that a harness waits for an answer. */
const TIMEOUT_MS = 60_000;

export interface HarnessCall {
  readonly url: string;
  /** GET where it is not given. */
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Sent as JSON. */
  readonly body?: unknown;
}

/** Makes one call. */
export function callHttp(call: HarnessCall): Promise<Result<HttpResponse, HttpFailure>> {
  const body = call.body === undefined ? undefined : JSON.stringify(call.body);
  return sendCall({
    url: new URL(call.url),
    method: call.method ?? 'GET',
    headers: { ...(body ? { 'content-type': 'application/json' } : {}), ...call.headers },
    body,
    timeoutMs: TIMEOUT_MS,
    agent: false,
  });
}

/** Reads JSON; throws where the call fails. */
export async function readJson(call: HarnessCall): Promise<unknown> {
  return JSON.parse((await callHttp(call)).unwrap().text);
}
