/** Sends responses to a caller over HTTP. */
import type http from 'node:http';

import { AnswerFraming, Caller } from '@radishbay/core/ports/caller.js';
import type { Refusal } from '@radishbay/core/model/reason.js';
import type { HeaderMap } from '@radishbay/core/model/request.js';

import { writeProblem, type RetryAfterFormat } from './problem.js';

/** Responds to one HTTP request of a caller. */
export class HttpCaller extends Caller {
  readonly #response: http.ServerResponse;

  readonly #retryAfterFormat: RetryAfterFormat | undefined;

  constructor(response: http.ServerResponse, retryAfterFormat?: RetryAfterFormat) {
    super();
    this.#response = response;
    this.#retryAfterFormat = retryAfterFormat;
  }

  override writeHead(status: number, headers: HeaderMap, framing = AnswerFraming.Delimited): void {
    if (framing === AnswerFraming.UntilClose) {
      // With both off, Node marks the end of the body by closing the connection.
      this.#response.useChunkedEncodingByDefault = false;
      this.#response.shouldKeepAlive = false;
    }
    this.#response.writeHead(status, headers);
    this.#response.flushHeaders();
  }

  override writeData(data: Uint8Array): boolean {
    return this.#response.write(data);
  }

  override end(): void {
    this.#response.end();
  }

  /** Resets the connection, so that no client mistakes a partial response for a complete one. */
  override abort(): void {
    this.#response.socket?.resetAndDestroy();
    this.#response.destroy();
  }

  override refuse(refusal: Refusal): void {
    writeProblem(this.#response, refusal, this.#retryAfterFormat);
  }

  override onDrain(listener: () => void): void {
    this.#response.on('drain', listener);
  }

  override onDisconnect(listener: () => void): void {
    this.#response.once('close', () => {
      if (!this.#response.writableFinished) listener();
    });
  }
}
