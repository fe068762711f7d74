/** Parses callers' HTTP requests, including the OpenAI-style completion bodies. */
import type http from 'node:http';

import { hashPrefixes } from '@radishbay/core/model/prefixHash.js';
import { RefusalReason } from '@radishbay/core/model/reason.js';
import type { CallerRequest } from '@radishbay/core/model/request.js';
import { Err, Ok, type Result } from '@radishbay/core/outcome.js';

import { pickEndToEndHeaders } from '../upstream/httpRun.js';

import { readBearerToken, readHeader } from './headers.js';

const COMPLETIONS_PATH = '/v1/completions';
const CHAT_COMPLETIONS_PATH = '/v1/chat/completions';

/** Header with the request class, used if the route does not determine one. */
const CLASS_HEADER = 'x-request-class';

/** Header with the time in milliseconds within which the caller needs a response. */
const DEADLINE_HEADER = 'x-deadline-ms';

const IDEMPOTENCY_HEADER = 'idempotency-key';
const IDEMPOTENCY_KEY_LIMIT = 256;

/** Headers that the entry consumes and does not forward. */
const CONSUMED_HEADERS = new Set(['authorization', CLASS_HEADER, DEADLINE_HEADER, 'x-attempt-id']);

/** Reason why a request cannot be accepted. */
export interface ParseFault {
  readonly reason: RefusalReason;
  readonly detail: string;
}

/** Fields of a completion request that routing uses. */
interface Completion {
  readonly model: string | undefined;
  readonly isStream: boolean;
  readonly prompt: string;
}

const NO_COMPLETION: Completion = { model: undefined, isStream: false, prompt: '' };

function isCompletionPath(path: string): boolean {
  const route = path.split('?')[0];
  return route === COMPLETIONS_PATH || route === CHAT_COMPLETIONS_PATH;
}

function readPrompt(body: Readonly<Record<string, unknown>>): string | undefined {
  if (typeof body.prompt === 'string') return body.prompt;
  if (!Array.isArray(body.messages)) return undefined;
  return body.messages
    .map((message: { role?: unknown; content?: unknown } | null) =>
      [message?.role, message?.content].map(String).join(':'),
    )
    .join('\n');
}

function parseCompletion(body: Uint8Array): Result<Completion, ParseFault> {
  const malformed = (detail: string) => Err({ reason: RefusalReason.MalformedRequest, detail });
  let value: unknown;
  try {
    value = JSON.parse(Buffer.from(body).toString('utf8'));
  } catch {
    return malformed('the request body is not valid JSON');
  }
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return malformed('the request body is not a JSON object');
  }
  const fields = value as Readonly<Record<string, unknown>>;
  const prompt = readPrompt(fields);
  if (prompt === undefined) return malformed('the request body has neither prompt nor messages');
  const model = typeof fields.model === 'string' ? fields.model : undefined;
  return Ok({ model, isStream: fields.stream === true, prompt });
}

function parseDeadline(value: string | undefined): Result<number | undefined, ParseFault> {
  if (value === undefined) return Ok(undefined);
  const deadlineMs = Number(value);
  if (Number.isInteger(deadlineMs) && deadlineMs > 0) return Ok(deadlineMs);
  const detail = `${DEADLINE_HEADER} must be a positive integer in milliseconds`;
  return Err({ reason: RefusalReason.BadDeadline, detail });
}

function readIdempotencyKey(message: http.IncomingMessage): Result<string | undefined, ParseFault> {
  const key = readHeader(message, IDEMPOTENCY_HEADER);
  if (key === undefined || (key.length > 0 && key.length <= IDEMPOTENCY_KEY_LIMIT)) return Ok(key);
  const detail = `Idempotency-Key must have 1 to ${IDEMPOTENCY_KEY_LIMIT} characters`;
  return Err({ reason: RefusalReason.MalformedRequest, detail });
}

/**
 * Parses one request.
 *
 * @param id unique within this incarnation of the entry
 * @param arrivedAtMs time at which its headers were received, in milliseconds
 * @returns the request, or the reason why it is malformed
 */
export function parseCallerRequest(
  id: string,
  message: http.IncomingMessage,
  body: Uint8Array,
  arrivedAtMs: number,
): Result<CallerRequest, ParseFault> {
  const deadline = parseDeadline(readHeader(message, DEADLINE_HEADER));
  if (!deadline.ok) return deadline;
  const key = readIdempotencyKey(message);
  if (!key.ok) return key;
  const path = message.url ?? '/';
  const completion = isCompletionPath(path) ? parseCompletion(body) : Ok(NO_COMPLETION);
  if (!completion.ok) return completion;

  const headers = Object.entries(pickEndToEndHeaders(message.headers));
  return Ok({
    id,
    method: message.method ?? 'GET',
    path,
    headers: Object.fromEntries(headers.filter(([name]) => !CONSUMED_HEADERS.has(name))),
    body,
    workspaceKey: readBearerToken(message) ?? '',
    className: readHeader(message, CLASS_HEADER),
    deadlineMs: deadline.val,
    idempotencyKey: key.val,
    model: completion.val.model,
    isStream: completion.val.isStream,
    prefixHashes: hashPrefixes(completion.val.prompt),
    arrivedAtMs,
  });
}

/** Creates a parser that numbers requests from 1: `r1`, `r2`, ... */
export function createRequestParser(): (
  message: http.IncomingMessage,
  body: Uint8Array,
  arrivedAtMs: number,
) => Result<CallerRequest, ParseFault> {
  let lastId = 0;
  return (message, body, arrivedAtMs) => {
    lastId += 1;
    return parseCallerRequest(`r${lastId}`, message, body, arrivedAtMs);
  };
}
