/**
 * Records an answer while it is passed on to the caller, up to a size limit.
 *
 * If the caller disconnects, the rest of the answer is still recorded for the claim.
 */
import type { HeaderMap } from '../model/request.js';
import type { Refusal } from '../model/reason.js';
import { Caller } from '../ports/caller.js';

import { KEPT_ANSWER_BYTES_MAX, type KeptAnswer } from './claimRecord.js';

/** Wraps a caller, passes everything on to it and keeps a copy of the answer. */
export class AnswerRecorder extends Caller {
  readonly #caller: Caller;

  #status = 0;

  #headers: HeaderMap = {};

  #chunks: Uint8Array[] = [];

  #bytes = 0;

  #isDetached = false;

  #onDrain: (() => void) | undefined;

  constructor(caller: Caller) {
    super();
    this.#caller = caller;
  }

  /** The answer recorded so far; undefined if it exceeds {@link KEPT_ANSWER_BYTES_MAX}. */
  get answer(): KeptAnswer | undefined {
    if (this.#bytes > KEPT_ANSWER_BYTES_MAX) return undefined;
    const bodyBase64 = Buffer.concat(this.#chunks).toString('base64');
    return { status: this.#status, headers: { ...this.#headers }, bodyBase64 };
  }

  /** Stops passing data on, as the caller has disconnected; recording continues. */
  detach(): void {
    this.#isDetached = true;
    this.#onDrain?.();
  }

  writeHead(status: number, headers: HeaderMap): void {
    this.#status = status;
    this.#headers = headers;
    if (!this.#isDetached) this.#caller.writeHead(status, headers);
  }

  writeData(data: Uint8Array): boolean {
    this.#record(data);
    return this.#isDetached || this.#caller.writeData(data);
  }

  holdMemory(bytes: number, isNeeded: boolean): boolean {
    return this.#isDetached || this.#caller.holdMemory(bytes, isNeeded);
  }

  end(): void {
    if (!this.#isDetached) this.#caller.end();
  }

  abort(refusal: Refusal): void {
    if (!this.#isDetached) this.#caller.abort(refusal);
  }

  refuse(refusal: Refusal): void {
    if (!this.#isDetached) this.#caller.refuse(refusal);
  }

  onDrain(listener: () => void): void {
    this.#onDrain = listener;
    this.#caller.onDrain(listener);
  }

  onDisconnect(listener: () => void): void {
    this.#caller.onDisconnect(listener);
  }

  #record(data: Uint8Array): void {
    this.#bytes += data.length;
    if (this.#bytes > KEPT_ANSWER_BYTES_MAX) this.#chunks = [];
    else this.#chunks.push(data.slice());
  }
}
