/**
 * Generates the text of completion responses and their wire format.
 *
 * Every byte is determined by the request alone, so that a caller can check that a response belongs
 * to its request, and another engine can resume a stream.
 */
import type { CompletionRequest } from './completionRequest.js';

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Number of prompt characters that count as one token. */
const CHARS_PER_TOKEN = 4;

export const STREAM_END = 'data: [DONE]\n\n';

/** Computes the 32-bit FNV-1a hash of a text, in base 36. */
export function hashText(text: string): string {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    // eslint-disable-next-line no-bitwise -- the algorithm is defined on bits
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  // eslint-disable-next-line no-bitwise -- makes the 32 bits unsigned
  return (hash >>> 0).toString(36);
}

export function countPromptTokens(prompt: string): number {
  return Math.max(1, Math.ceil(prompt.length / CHARS_PER_TOKEN));
}

/** Formats one token of the completion of a prompt. */
export function formatToken(promptHash: string, index: number): string {
  return ` ${promptHash}.${index}`;
}

/** Formats the full completion text of a prompt. */
export function formatText(prompt: string, maxTokens: number): string {
  const promptHash = hashText(prompt);
  const tokens = Array.from({ length: maxTokens }, (_, index) => formatToken(promptHash, index));
  return tokens.join('');
}

function describeEnvelope(request: CompletionRequest, promptHash: string, isChunk: boolean) {
  const kind = request.isChat ? 'chat.completion' : 'text_completion';
  return {
    id: `cmpl-${promptHash}`,
    object: request.isChat && isChunk ? `${kind}.chunk` : kind,
    created: 0,
    model: request.model,
  };
}

function describeUsage(request: CompletionRequest) {
  const promptTokens = countPromptTokens(request.prompt);
  return {
    prompt_tokens: promptTokens,
    completion_tokens: request.maxTokens,
    total_tokens: promptTokens + request.maxTokens,
  };
}

/** Formats the server-sent event of one token; the last event includes the usage. */
export function formatChunk(request: CompletionRequest, promptHash: string, index: number): string {
  const text = formatToken(promptHash, index);
  const isLast = index === request.maxTokens - 1;
  const finish = isLast ? 'length' : null;
  const choice = request.isChat
    ? { index: 0, delta: { content: text }, finish_reason: finish }
    : { index: 0, text, finish_reason: finish };
  const chunk = {
    ...describeEnvelope(request, promptHash, true),
    choices: [choice],
    ...(isLast ? { usage: describeUsage(request) } : {}),
  };
  return `data: ${JSON.stringify(chunk)}\n\n`;
}

/** Formats the JSON body of a response that is not streamed. */
export function formatResponseBody(request: CompletionRequest): string {
  const text = formatText(request.prompt, request.maxTokens);
  const choice = request.isChat
    ? { index: 0, message: { role: 'assistant', content: text }, finish_reason: 'length' }
    : { index: 0, text, finish_reason: 'length' };
  return JSON.stringify({
    ...describeEnvelope(request, hashText(request.prompt), false),
    choices: [choice],
    usage: describeUsage(request),
  });
}
