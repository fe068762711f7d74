/** The calls that a caller makes: their kinds, bodies, and the answers that belong to them. */
import { isJsonObject, parseObject } from '../http/json.js';
import { parseCompletion, type CompletionRequest } from '../engine/completionRequest.js';
import { STREAM_END, formatChunk, formatResponseBody, hashText } from '../engine/completionText.js';

export enum CallKind {
  /** Completion streamed as server-sent events. */
  Stream = 'stream',
  /** Chat streamed as server-sent events. */
  Chat = 'chat',
  /** Completion answered as a whole. */
  Whole = 'whole',
  /** Confirmation of a swap, which may not be repeated. */
  Swap = 'swap',
  /** Read from a plain service. */
  Sets = 'sets',
}

/** One kind of call in a mix. */
export interface CallShape {
  readonly kind: CallKind;
  /** Share of the calls, against the weights of the others. */
  readonly weight: number;
  readonly maxTokens: number;
  readonly promptChars: number;
  /** Number of prompt beginnings that calls share; 0 shares none. */
  readonly prefixCount: number;
  readonly prefixChars: number;
  readonly model: string;
  readonly headers: Readonly<Record<string, string>>;
}

/** One call to be made. */
export interface PlannedCall {
  /** Unique within a run, and told to the upstream. */
  readonly id: string;
  readonly kind: CallKind;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** Empty where the call has none. */
  readonly body: string;
}

const FILLER = 'the stage is set ';

export const DEFAULT_SHAPE: CallShape = {
  kind: CallKind.Stream,
  weight: 1,
  maxTokens: 32,
  promptChars: 400,
  prefixCount: 0,
  prefixChars: 0,
  model: 'default',
  headers: {},
};

function fill(start: string, chars: number): string {
  return start.padEnd(chars, FILLER);
}

function buildPrompt(shape: CallShape, id: string, index: number): string {
  const own = fill(`request ${id} `, shape.promptChars);
  if (shape.prefixCount <= 0) return own;
  const prefix = fill(`prefix ${index % shape.prefixCount} `, shape.prefixChars);
  return `${prefix}${own}`;
}

function buildCompletionBody(shape: CallShape, prompt: string): string {
  const isChat = shape.kind === CallKind.Chat;
  return JSON.stringify({
    model: shape.model,
    max_tokens: shape.maxTokens,
    stream: shape.kind !== CallKind.Whole,
    ...(isChat ? { messages: [{ role: 'user', content: prompt }] } : { prompt }),
  });
}

function buildRoute(shape: CallShape, id: string, index: number) {
  switch (shape.kind) {
    case CallKind.Swap:
      return { method: 'POST', path: '/swaps', body: JSON.stringify({ requestId: id }) };
    case CallKind.Sets:
      return { method: 'GET', path: '/sets', body: '' };
    default: {
      const path = shape.kind === CallKind.Chat ? '/v1/chat/completions' : '/v1/completions';
      const body = buildCompletionBody(shape, buildPrompt(shape, id, index));
      return { method: 'POST', path, body };
    }
  }
}

/** Plans one call of a shape. */
export function planCall(shape: CallShape, id: string, index: number): PlannedCall {
  const { kind, headers } = shape;
  return { id, kind, headers, ...buildRoute(shape, id, index) };
}

function formatStream(request: CompletionRequest): string {
  const promptHash = hashText(request.prompt);
  const chunks = Array.from({ length: request.maxTokens }, (_, index) =>
    formatChunk(request, promptHash, index),
  );
  return `${chunks.join('')}${STREAM_END}`;
}

function isCompletionAnswer(call: PlannedCall, text: string): boolean {
  const request = parseCompletion(call.body, call.kind === CallKind.Chat);
  if (!request) return false;
  return text === (request.isStream ? formatStream(request) : formatResponseBody(request));
}

/** Whether an answer is whole and belongs to its request, byte for byte where that is known. */
export function isOwnAnswer(call: PlannedCall, text: string): boolean {
  switch (call.kind) {
    case CallKind.Swap: {
      const answer = parseObject(text);
      return answer?.isConfirmed === true && answer.requestId === call.id;
    }
    case CallKind.Sets:
      return isJsonObject(parseObject(text)) && Array.isArray(parseObject(text)?.sets);
    default:
      return isCompletionAnswer(call, text);
  }
}
