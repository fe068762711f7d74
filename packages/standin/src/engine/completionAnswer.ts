/** Writes the answer to one completion call, from a byte offset on. */
import type { ServerResponse } from 'node:http';

import type { CompletionRequest } from './completionRequest.js';
import { STREAM_END, formatChunk, formatWhole, hashText } from './completionText.js';

const STREAM_HEADERS = { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' };

/** Finds the first token whose event is not wholly before a byte offset. */
function findToken(
  request: CompletionRequest,
  promptHash: string,
  offset: number,
): { token: number; skipBytes: number } {
  let token = 0;
  let skipBytes = offset;
  while (token < request.maxTokens) {
    const sizeBytes = Buffer.byteLength(formatChunk(request, promptHash, token));
    if (skipBytes < sizeBytes) break;
    skipBytes -= sizeBytes;
    token += 1;
  }
  return { token, skipBytes };
}

/** The answer to one call, streamed or whole. */
export class CompletionAnswer {
  readonly #response: ServerResponse;

  readonly #request: CompletionRequest;

  readonly #promptHash: string;

  #skipBytes: number;

  /** First token to generate. */
  readonly firstToken: number;

  /** @param offset bytes of the answer that the caller has already */
  constructor(response: ServerResponse, request: CompletionRequest, offset: number) {
    this.#response = response;
    this.#request = request;
    this.#promptHash = hashText(request.prompt);
    if (request.isStream) {
      const { token, skipBytes } = findToken(request, this.#promptHash, offset);
      this.firstToken = Math.min(token, request.maxTokens - 1);
      const isInEnd = token === request.maxTokens;
      this.#skipBytes = isInEnd ? skipBytes + this.#sizeLastChunk() : skipBytes;
    } else {
      this.firstToken = 0;
      this.#skipBytes = offset;
    }
  }

  /** @returns false where the caller is slow: wait for the response to drain */
  writeToken(index: number): boolean {
    if (!this.#request.isStream) return true;
    return this.#write(formatChunk(this.#request, this.#promptHash, index));
  }

  end(): void {
    if (this.#request.isStream) this.#write(STREAM_END);
    else this.#writeWhole();
    this.#response.end();
  }

  #writeWhole(): void {
    const body = formatWhole(this.#request);
    const sizeBytes = Math.max(0, Buffer.byteLength(body) - this.#skipBytes);
    this.#response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': sizeBytes,
    });
    this.#write(body);
  }

  #write(text: string): boolean {
    if (!this.#response.headersSent) this.#response.writeHead(200, STREAM_HEADERS);
    if (this.#skipBytes === 0) return this.#response.write(text);
    const data = Buffer.from(text);
    const rest = data.subarray(this.#skipBytes);
    this.#skipBytes = Math.max(0, this.#skipBytes - data.length);
    return rest.length === 0 || this.#response.write(rest);
  }

  #sizeLastChunk(): number {
    const last = formatChunk(this.#request, this.#promptHash, this.#request.maxTokens - 1);
    return Buffer.byteLength(last);
  }
}
