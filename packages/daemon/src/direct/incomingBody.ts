/**
 * The body of a caller's request, streamed while it is being received.
 *
 * The beginning is buffered so that the request can be retried on another upstream; most bodies fit
 * into the buffer completely. The rest is forwarded under the upstream's backpressure and is not
 * kept, so a request cannot be retried once its body exceeds the buffer and streaming has begun.
 */
import type http from 'node:http';

import {
  RequestBody,
  type BodySink,
  type BodyTransfer,
} from '@radishbay/core/ports/requestBody.js';

import { discardBody } from '../callers/discardBody.js';

/** Bytes of a body that are buffered for retries: about ten thousand words. */
const BUFFER_BYTES = 64 * 1024;

/** Reads the length from the headers; undefined for a chunked body. */
function readDeclaredLength({ headers }: http.IncomingMessage): number | undefined {
  if (headers['transfer-encoding'] !== undefined) return undefined;
  return Number(headers['content-length'] ?? 0);
}

/** Buffers the beginning of a request body and streams the rest to one sink. */
export class IncomingBody extends RequestBody {
  readonly #message: http.IncomingMessage;

  readonly #limitBytes: number;

  readonly #declaredBytes: number | undefined;

  #bufferedChunks: Buffer[] = [];

  #sizeBytes = 0;

  #isComplete = false;

  #isDiscarded = false;

  /** Whether data has been forwarded without being buffered, which rules out a retry. */
  #isStreaming = false;

  #sink: BodySink | undefined;

  #onReady: (() => void) | undefined;

  #onTooLarge: (() => void) | undefined;

  constructor(message: http.IncomingMessage, limitBytes: number) {
    super();
    this.#message = message;
    this.#limitBytes = limitBytes;
    this.#declaredBytes = readDeclaredLength(message);
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

  override onTooLarge(listener: () => void): void {
    this.#onTooLarge = listener;
  }

  override sendTo(sink: BodySink): BodyTransfer {
    this.#sink = sink;
    const isOpen = this.#bufferedChunks.map((data) => sink.write(data)).every(Boolean);
    if (this.#isComplete) sink.end();
    else if (isOpen) this.#message.resume();
    return {
      resume: () => {
        if (this.#sink === sink && !this.#isComplete) this.#message.resume();
      },
      stop: () => {
        if (this.#sink !== sink) return;
        this.#sink = undefined;
        this.#message.pause();
      },
    };
  }

  /** Frees the buffer and discards the rest of the body, after its request has ended. */
  discard(): void {
    this.#bufferedChunks = [];
    this.#sink = undefined;
    this.#onReady = undefined;
    if (this.#isComplete || this.#isDiscarded) return;
    this.#isDiscarded = true;
    this.#message.off('data', this.#handleData);
    this.#message.off('end', this.#handleEnd);
    discardBody(this.#message);
  }

  get #isReady(): boolean {
    return this.#isComplete || this.#sizeBytes >= BUFFER_BYTES;
  }

  readonly #handleData = (data: Buffer): void => {
    this.#sizeBytes += data.length;
    if (this.#sizeBytes > this.#limitBytes) {
      this.discard();
      this.#onTooLarge?.();
      return;
    }
    if (this.#sink) this.#forward(this.#sink, data);
    else this.#buffer(data);
  };

  readonly #handleEnd = (): void => {
    this.#isComplete = true;
    this.#sink?.end();
    this.#notifyReady();
  };

  #buffer(data: Buffer): void {
    this.#bufferedChunks.push(data);
    if (!this.#isReady) return;
    this.#message.pause();
    this.#notifyReady();
  }

  #forward(sink: BodySink, data: Buffer): void {
    this.#isStreaming = true;
    this.#bufferedChunks = [];
    if (!sink.write(data)) this.#message.pause();
  }

  #notifyReady(): void {
    const listener = this.#onReady;
    this.#onReady = undefined;
    listener?.();
  }
}
