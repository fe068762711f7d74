/**
 * The body of a caller's request, streamed while it is being received.
 *
 * The beginning is buffered so that the request can be retried on another upstream; most bodies fit
 * into the buffer completely. The rest is forwarded under the upstream's backpressure and is not
 * kept, so a request cannot be retried once its body exceeds the buffer and streaming has begun.
 *
 * Pieces are joined, as callers may send chunks of one byte, and each buffer that is kept or
 * written costs some hundred bytes.
 */
import type http from 'node:http';

import { Awaited, type MemoryAccount } from '@radishbay/core/memory/memoryAccount.js';
import { JoinedBuffer } from '@radishbay/core/memory/joinedBuffer.js';
import { MemoryKind } from '@radishbay/core/memory/memoryKind.js';
import { RefusalReason } from '@radishbay/core/model/reason.js';
import {
  RequestBody,
  type BodySink,
  type BodyTransfer,
} from '@radishbay/core/ports/requestBody.js';

import { discardBody } from '../callers/discardBody.js';
import { holdBody, releaseBody } from '../callers/heldBody.js';

/** Bytes of a body that are buffered for retries: about ten thousand words. */
const BUFFER_BYTES = 64 * 1024;

/** Size from which pieces are forwarded at once; smaller ones are joined until the next turn. */
const FORWARD_BYTES = 16 * 1024;

/** Bytes that the kernel receives on a connection that is not read. */
const UNREAD_BYTES = 128 * 1024;

/**
 * Bytes of a body that are discarded where memory is short: room for the rest of a small body, so
 * that its caller reads the refusal.
 */
const DISCARDED_BYTES_WHEN_SHORT = 32 * 1024;

/** Reads the length from the headers; undefined for a chunked body. */
export function readDeclaredLength({ headers }: http.IncomingMessage): number | undefined {
  if (headers['transfer-encoding'] !== undefined) return undefined;
  return Number(headers['content-length'] ?? 0);
}

/** Buffers the beginning of a request body and streams the rest to one sink. */
export class IncomingBody extends RequestBody {
  readonly #message: http.IncomingMessage;

  readonly #limitBytes: number;

  readonly #account: MemoryAccount;

  readonly #declaredBytes: number | undefined;

  /** The beginning of the body; once it is streamed, what the sink has not been given yet. */
  readonly #buffer = new JoinedBuffer();

  #sizeBytes = 0;

  #isComplete = false;

  #isDiscarded = false;

  /** Whether data has been forwarded without being buffered, which rules out a retry. */
  #isStreaming = false;

  #sink: BodySink | undefined;

  #isSinkOpen = false;

  #unsentBytes = 0;

  #forwarding: NodeJS.Immediate | undefined;

  #onReady: (() => void) | undefined;

  #onRejected: ((reason: RefusalReason) => void) | undefined;

  constructor(message: http.IncomingMessage, limitBytes: number, account: MemoryAccount) {
    super();
    this.#message = message;
    this.#limitBytes = limitBytes;
    this.#account = account;
    this.#declaredBytes = readDeclaredLength(message);
    account.await(Awaited.Body, performance.now());
    message.on('data', this.#handleData);
    message.on('end', this.#handleEnd);
    // A caller that disconnects is detected by the 'close' event of its response.
    message.on('error', () => {});
  }

  override get lengthBytes(): number | undefined {
    return this.#isComplete ? this.#sizeBytes : this.#declaredBytes;
  }

  override get isComplete(): boolean {
    return this.#isComplete;
  }

  override get isRepeatable(): boolean {
    return !this.#isStreaming;
  }

  override onReady(listener: () => void): void {
    if (this.#isReady) listener();
    else this.#onReady = listener;
  }

  override onRejected(listener: (reason: RefusalReason) => void): void {
    this.#onRejected = listener;
  }

  override sendTo(sink: BodySink): BodyTransfer {
    this.#sink = sink;
    this.#isSinkOpen = this.#buffer.sizeBytes === 0 || sink.write(this.#buffer.read());
    if (this.#isComplete) sink.end();
    else if (this.#isSinkOpen) this.#release();
    return {
      resume: () => {
        if (this.#sink === sink) this.#resume(sink);
      },
      stop: () => {
        if (this.#sink !== sink) return;
        this.#sink = undefined;
        this.#holdBack();
      },
    };
  }

  /** Ends the request, without reading more of its body. */
  reject(reason: RefusalReason): void {
    const listener = this.#onRejected;
    const isShort = reason === RefusalReason.MemoryShort;
    this.discard(isShort ? DISCARDED_BYTES_WHEN_SHORT : undefined);
    listener?.(reason);
  }

  /**
   * Frees the buffer and discards the rest of the body, after its request has ended.
   *
   * @param limitBytes bytes after which the connection is closed
   */
  discard(limitBytes?: number): void {
    clearImmediate(this.#forwarding);
    this.#buffer.take();
    this.#sink = undefined;
    this.#onReady = undefined;
    if (this.#isComplete || this.#isDiscarded) return;
    this.#isDiscarded = true;
    this.#message.off('data', this.#handleData);
    this.#message.off('end', this.#handleEnd);
    releaseBody(this.#message);
    discardBody(this.#message, limitBytes);
  }

  get #isReady(): boolean {
    return this.#isComplete || this.#sizeBytes >= BUFFER_BYTES;
  }

  readonly #handleData = (data: Buffer): void => {
    this.#sizeBytes += data.length;
    this.#account.noteArrived(data.length, performance.now());
    if (this.#sizeBytes > this.#limitBytes) this.reject(RefusalReason.BodyTooLarge);
    else if (this.#sink) this.#forward(this.#sink, data);
    else this.#keep(data);
  };

  readonly #handleEnd = (): void => {
    this.#isComplete = true;
    const isBodyAwaited = this.#account.awaited === Awaited.Body;
    if (isBodyAwaited) this.#account.await(Awaited.Nothing, performance.now());
    // The end can be emitted after the body was held back; the next request needs the connection.
    this.#release();
    if (this.#sink) {
      if (this.#isStreaming) this.#write(this.#sink);
      this.#sink?.end();
    }
    this.#notifyReady();
  };

  #keep(data: Buffer): void {
    if (!this.#append(data) || !this.#isReady) return;
    this.#holdBack();
    this.#notifyReady();
  }

  #forward(sink: BodySink, data: Buffer): void {
    if (!this.#isStreaming) {
      this.#isStreaming = true;
      this.#buffer.take();
    }
    if (!this.#append(data)) return;
    if (!this.#isSinkOpen) this.#holdBack();
    else if (this.#buffer.sizeBytes >= FORWARD_BYTES) this.#write(sink);
    else this.#forwarding ??= setImmediate(this.#forwardKept);
  }

  readonly #forwardKept = (): void => {
    this.#forwarding = undefined;
    if (this.#sink && this.#isSinkOpen) this.#write(this.#sink);
  };

  /** @returns false if there is no memory for it, and the request has ended */
  #append(data: Buffer): boolean {
    this.#buffer.append(data);
    return this.#account.hold(MemoryKind.Body, this.#buffer.capacityBytes);
  }

  /** Writes what is kept of a body that is streamed. */
  #write(sink: BodySink): void {
    if (this.#buffer.sizeBytes === 0) return;
    const data = this.#buffer.take();
    this.#account.hold(MemoryKind.Body, 0);
    this.#isSinkOpen = sink.write(data);
    if (this.#isSinkOpen) return;
    this.#unsentBytes += data.length;
    if (this.#account.hold(MemoryKind.UpstreamBody, this.#unsentBytes)) this.#holdBack();
  }

  #resume(sink: BodySink): void {
    this.#isSinkOpen = true;
    this.#unsentBytes = 0;
    this.#account.hold(MemoryKind.UpstreamBody, 0);
    if (this.#isStreaming) this.#write(sink);
    if (this.#isSinkOpen && !this.#isComplete) this.#release();
  }

  #holdBack(): void {
    if (this.#isComplete || this.#isDiscarded) return;
    holdBody(this.#message);
    this.#account.hold(MemoryKind.Unread, UNREAD_BYTES);
  }

  #release(): void {
    this.#account.hold(MemoryKind.Unread, 0);
    this.#account.resetIdle(performance.now());
    releaseBody(this.#message);
  }

  #notifyReady(): void {
    const listener = this.#onReady;
    this.#onReady = undefined;
    listener?.();
  }
}
