/**
 * Keeps a copy of an answer on its way to the caller, up to a bound.
 *
 * Where the caller has hung up, the answer is still taken in whole, for the claim.
 */
import type { HeaderMap } from '../model/request.js';
import type { Refusal } from '../model/reason.js';
import { Caller } from '../ports/caller.js';

import { KEPT_ANSWER_BYTES_MAX, type KeptAnswer } from './claimRecord.js';

/** A caller in front of another one. */
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

  /** The answer so far; undefined where it is too large to keep. */
  get answer(): KeptAnswer | undefined {
    if (this.#bytes > KEPT_ANSWER_BYTES_MAX) return undefined;
    const bodyBase64 = Buffer.concat(this.#chunks).toString('base64');
    return { status: this.#status, headers: { ...this.#headers }, bodyBase64 };
  }

  /** Goes on without the caller, who has hung up. */
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

  onGone(listener: () => void): void {
    this.#caller.onGone(listener);
  }

  #record(data: Uint8Array): void {
    this.#bytes += data.length;
    if (this.#bytes > KEPT_ANSWER_BYTES_MAX) this.#chunks = [];
    else this.#chunks.push(data.slice());
  }
}
