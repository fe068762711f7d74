/** HTTP call with a JSON response and a timeout. */
import type { Agent } from 'node:http';

import { Err, Ok, type Result } from '@radishbay/core/outcome.js';
import { sendCall } from '@radishbay/objects/httpCall.js';

/** Size limit of an answer: room for the expert counts of some hundred layers. */
const RESPONSE_LIMIT_BYTES = 4 * 1024 * 1024;

export interface JsonCall {
  readonly url: URL;
  readonly method: string;
  readonly body: unknown;
  readonly timeoutMs: number;
  readonly agent: Agent;
}

export interface JsonReply {
  readonly status: number;
  readonly body: unknown;
}

function parseJson(text: string): Result<unknown, string> {
  try {
    return Ok(JSON.parse(text));
  } catch {
    return Err('the response is not valid JSON');
  }
}

/**
 * Makes one call; the timeout covers the call from connecting to the end of the response.
 *
 * @returns status and parsed body, or a description of the error
 */
export async function callJson(call: JsonCall): Promise<Result<JsonReply, string>> {
  const { url, method, timeoutMs, agent } = call;
  const body = call.body === undefined ? undefined : JSON.stringify(call.body);
  const headers: Record<string, string> = body ? { 'content-type': 'application/json' } : {};
  const responseLimitBytes = RESPONSE_LIMIT_BYTES;
  const answer = await sendCall({
    url,
    method,
    headers,
    body,
    timeoutMs,
    responseLimitBytes,
    agent,
  });
  if (!answer.ok) return Err(answer.val.detail);
  const parsed = parseJson(answer.val.text);
  return parsed.ok ? Ok({ status: answer.val.status, body: parsed.val }) : parsed;
}
