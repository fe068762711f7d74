/** Calls of the stand-ins over HTTP, for tests. */
import { sendCall, type HttpResponse, type HttpFailure } from '@radishbay/objects/httpCall.js';
import type { Result } from '@radishbay/core/outcome.js';

const TIMEOUT_MS = 20_000;

/** Makes a call that may fail. */
export function send(
  method: string,
  url: string,
  body?: unknown,
  headers: Record<string, string> = {},
): Promise<Result<HttpResponse, HttpFailure>> {
  return sendCall({
    method,
    url: new URL(url),
    headers: { 'content-type': 'application/json', ...headers },
    body: body === undefined ? undefined : JSON.stringify(body),
    timeoutMs: TIMEOUT_MS,
    agent: false,
  });
}

/** Reads JSON; throws where the call fails. */
export async function getJson(url: string): Promise<Record<string, unknown>> {
  const answer = await send('GET', url);
  return JSON.parse(answer.unwrap().text) as Record<string, unknown>;
}

/** Posts JSON; throws where the call fails. */
export async function postJson(
  url: string,
  body: unknown,
  headers: Record<string, string> = {},
): Promise<HttpResponse> {
  const answer = await send('POST', url, body, headers);
  return answer.unwrap();
}
