/** Writes the response to a completion request, starting at a byte offset. */
import type { ServerResponse } from 'node:http';

import type { CompletionRequest } from './completionRequest.js';
import { STREAM_END, formatChunk, formatResponseBody, hashText } from './completionText.js';

const STREAM_HEADERS = { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' };

/**
 * Finds the first token whose event does not end before a byte offset, and the number of its bytes
 * to skip.
 */
function findFirstToken(
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

/** The response to one completion request, as a stream or as one JSON body. */
export class CompletionAnswer {
  readonly #response: ServerResponse;

  readonly #request: CompletionRequest;

  readonly #promptHash: string;

  #skipBytes: number;

  /** Index of the first token to generate. */
  readonly firstToken: number;

  /** @param offset number of response bytes that the caller already has */
  constructor(response: ServerResponse, request: CompletionRequest, offset: number) {
    this.#response = response;
    this.#request = request;
    this.#promptHash = hashText(request.prompt);
    if (request.isStream) {
      const { token, skipBytes } = findFirstToken(request, this.#promptHash, offset);
      this.firstToken = Math.min(token, request.maxTokens - 1);
      const isInEnd = token === request.maxTokens;
      this.#skipBytes = isInEnd ? skipBytes + this.#getLastChunkBytes() : skipBytes;
    } else {
      this.firstToken = 0;
      this.#skipBytes = offset;
    }
  }

  /** @returns false if the caller reads slowly; continue after the response's `drain` event */
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
    const body = formatResponseBody(this.#request);
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

  #getLastChunkBytes(): number {
    const last = formatChunk(this.#request, this.#promptHash, this.#request.maxTokens - 1);
    return Buffer.byteLength(last);
  }
}
