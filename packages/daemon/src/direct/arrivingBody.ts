/**
 * The body of a caller's request as it arrives.
 *
 * Its beginning is held, so that the request can go to another upstream. Most bodies are whole by
 * then. What comes after is passed on as fast as the upstream takes it, and is not kept: from then
 * on the request cannot be sent again.
 */
import type http from 'node:http';

import {
  RequestBody,
  type BodySink,
  type BodyTransfer,
} from '@radishbay/core/ports/requestBody.js';

import { dropRest } from '../callers/bodyRest.js';

/** Bytes of a body that are held: some ten thousand words. */
const HELD_BYTES = 64 * 1024;

function readLength({ headers }: http.IncomingMessage): number | undefined {
  if (headers['transfer-encoding'] !== undefined) return undefined;
  return Number(headers['content-length'] ?? 0);
}

export class ArrivingBody extends RequestBody {
  readonly #message: http.IncomingMessage;

  readonly #limitBytes: number;

  readonly #toldBytes: number | undefined;

  #held: Buffer[] = [];

  #sizeBytes = 0;

  #isComplete = false;

  #isDropped = false;

  /** Whether more than the held beginning has been read. */
  #isPassing = false;

  #sink: BodySink | undefined;

  #onReady: (() => void) | undefined;

  #onTooLarge: (() => void) | undefined;

  constructor(message: http.IncomingMessage, limitBytes: number) {
    super();
    this.#message = message;
    this.#limitBytes = limitBytes;
    this.#toldBytes = readLength(message);
    message.on('data', this.#read);
    message.on('end', this.#finish);
    // A caller that hangs up is told of by its response, which closes with it.
    message.on('error', () => {});
  }

  override get lengthBytes(): number | undefined {
    return this.#isComplete ? this.#sizeBytes : this.#toldBytes;
  }

  override get isComplete(): boolean {
    return this.#isComplete;
  }

  override get isRepeatable(): boolean {
    return !this.#isPassing;
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
    const isOpen = this.#held.map((data) => sink.write(data)).every(Boolean);
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

  /** Reads what is left of it for nothing, after its request has ended. */
  drop(): void {
    this.#held = [];
    this.#sink = undefined;
    this.#onReady = undefined;
    if (this.#isComplete || this.#isDropped) return;
    this.#isDropped = true;
    this.#message.off('data', this.#read);
    this.#message.off('end', this.#finish);
    dropRest(this.#message);
  }

  get #isReady(): boolean {
    return this.#isComplete || this.#sizeBytes >= HELD_BYTES;
  }

  readonly #read = (data: Buffer): void => {
    this.#sizeBytes += data.length;
    if (this.#sizeBytes > this.#limitBytes) {
      this.drop();
      this.#onTooLarge?.();
      return;
    }
    if (this.#sink) this.#pass(this.#sink, data);
    else this.#hold(data);
  };

  readonly #finish = (): void => {
    this.#isComplete = true;
    this.#sink?.end();
    this.#tellReady();
  };

  #hold(data: Buffer): void {
    this.#held.push(data);
    if (!this.#isReady) return;
    this.#message.pause();
    this.#tellReady();
  }

  #pass(sink: BodySink, data: Buffer): void {
    this.#isPassing = true;
    this.#held = [];
    if (!sink.write(data)) this.#message.pause();
  }

  #tellReady(): void {
    const listener = this.#onReady;
    this.#onReady = undefined;
    listener?.();
  }
}
