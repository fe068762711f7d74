/** Parses the body of a completion or chat completion request. */
import {
  isJsonObject,
  parseObject,
  readNumber,
  readString,
  type JsonObject,
} from '../http/json.js';

const DEFAULT_MAX_TOKENS = 16;
const MAX_TOKENS = 100_000;

export interface CompletionRequest {
  readonly isChat: boolean;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly isStream: boolean;
}

/**
 * Joins the messages of a chat into one prompt. The entry builds its prefix hashes from the same
 * format.
 */
export function formatChatPrompt(messages: readonly JsonObject[]): string {
  const lines = messages.map(
    (message) => `${readString(message, 'role', 'user')}:${readString(message, 'content', '')}`,
  );
  return lines.join('\n');
}

function readPrompt(body: JsonObject, isChat: boolean): string | undefined {
  if (!isChat) return typeof body.prompt === 'string' ? body.prompt : undefined;
  if (!Array.isArray(body.messages)) return undefined;
  return formatChatPrompt(body.messages.filter(isJsonObject));
}

/** @returns the parsed request, or undefined if the body is malformed */
export function parseCompletion(text: string, isChat: boolean): CompletionRequest | undefined {
  const body = parseObject(text);
  const prompt = body && readPrompt(body, isChat);
  if (!body || prompt === undefined) return undefined;
  const maxTokens = readNumber(body, 'max_tokens', DEFAULT_MAX_TOKENS);
  if (!Number.isInteger(maxTokens) || maxTokens < 1 || maxTokens > MAX_TOKENS) return undefined;
  return {
    isChat,
    model: readString(body, 'model', 'default'),
    prompt,
    maxTokens,
    isStream: body.stream === true,
  };
}
