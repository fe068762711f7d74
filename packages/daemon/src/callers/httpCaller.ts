/** Sends responses to a caller over HTTP. */
import type http from 'node:http';

import { Awaited, type MemoryAccount } from '@radishbay/core/memory/memoryAccount.js';
import { MemoryKind } from '@radishbay/core/memory/memoryKind.js';
import { AnswerFraming, Caller } from '@radishbay/core/ports/caller.js';
import { RefusalReason, type Refusal } from '@radishbay/core/model/reason.js';
import type { HeaderMap } from '@radishbay/core/model/request.js';
import { RESET_DELAY_MS, resetConnection } from '@radishbay/objects/connectionReset.js';

import { writeProblem, type RetryAfterFormat } from './problem.js';

/** Bytes held for an upstream's connection while it is not read, by Node and by the kernel. */
const PAUSED_BYTES = 192 * 1024;

/** Reasons for which the connection or the process ends at once, without waiting for a reset. */
const CLOSING_REASONS: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.AnswerUnread,
  RefusalReason.BodyTooLarge,
  RefusalReason.MemoryShort,
  RefusalReason.RequestTooSlow,
  RefusalReason.ShuttingDown,
]);

/** Responds to one HTTP request of a caller. */
export class HttpCaller extends Caller {
  readonly #response: http.ServerResponse;

  readonly #retryAfterFormat: RetryAfterFormat | undefined;

  readonly #account: MemoryAccount | undefined;

  #framing = AnswerFraming.Delimited;

  /** @param account where the memory of the answer is counted; not counted without one */
  constructor(
    response: http.ServerResponse,
    retryAfterFormat?: RetryAfterFormat,
    account?: MemoryAccount,
  ) {
    super();
    this.#response = response;
    this.#retryAfterFormat = retryAfterFormat;
    this.#account = account;
  }

  override writeHead(status: number, headers: HeaderMap, framing = AnswerFraming.Delimited): void {
    this.#framing = framing;
    if (framing === AnswerFraming.UntilClose) {
      // With both off, Node marks the end of the body by closing the connection.
      this.#response.useChunkedEncodingByDefault = false;
      this.#response.shouldKeepAlive = false;
    }
    this.#response.writeHead(status, headers);
    this.#response.flushHeaders();
  }

  override writeData(data: Uint8Array): boolean {
    if (this.#response.write(data)) return true;
    this.#awaitReader(PAUSED_BYTES);
    return false;
  }

  override holdMemory(bytes: number, isNeeded: boolean): boolean {
    if (!this.#account) return true;
    return isNeeded
      ? this.#account.hold(MemoryKind.Response, bytes)
      : this.#account.tryHold(MemoryKind.Response, bytes);
  }

  override end(): void {
    this.#response.end();
    if (this.#response.writableLength > 0) this.#awaitReader(0);
  }

  /**
   * Resets the connection, so that no client mistakes a partial response for a complete one. The
   * reader of a response without framing gets {@link RESET_DELAY_MS} to take the data first.
   */
  override abort({ reason }: Refusal): void {
    if (this.#framing === AnswerFraming.Delimited || CLOSING_REASONS.has(reason)) {
      this.#reset();
      return;
    }
    // Until then nothing else may close the connection, which would look like the end.
    this.#response.req.pause();
    this.#account?.release();
    setTimeout(this.#reset, RESET_DELAY_MS);
  }

  override refuse(refusal: Refusal): void {
    writeProblem(this.#response, refusal, this.#retryAfterFormat);
  }

  override onDrain(listener: () => void): void {
    this.#response.on('drain', () => {
      const isBodyDue = !this.#response.req.complete;
      this.#account?.await(isBodyDue ? Awaited.Body : Awaited.Nothing, performance.now());
      this.#account?.hold(MemoryKind.Answer, 0);
      listener();
    });
  }

  override onDisconnect(listener: () => void): void {
    this.#response.once('close', () => {
      if (!this.#response.writableFinished) listener();
    });
  }

  readonly #reset = (): void => {
    if (this.#response.socket) resetConnection(this.#response.socket);
    this.#response.destroy();
  };

  /** Counts what the caller has not taken yet. */
  #awaitReader(extraBytes: number): void {
    this.#account?.await(Awaited.Reader, performance.now());
    this.#account?.hold(MemoryKind.Answer, this.#response.writableLength + extraBytes);
  }
}
