/**
 * Hands the answer of one request on to its caller.
 *
 * Every byte has an offset. What the caller already has is skipped, what is out of order is not
 * taken, and the answer is completed only where its length is the one that the upstream's side
 * process named. Credit is given only as the caller takes bytes.
 */
import type { HeaderMap } from '../model/request.js';
import type { Caller } from '../ports/caller.js';
import type { Refusal } from '../model/reason.js';

/** Bytes of answer that may be under way to a caller. */
export const CREDIT_WINDOW_BYTES = 262_144;

/** What became of a piece of answer. */
export enum RelayResult {
  Taken = 'taken',
  /** The caller already had all of it. */
  Known = 'known',
  /** Something before it is missing. */
  Gap = 'gap',
  /** It contradicts what came before. */
  Broken = 'broken',
}

/** Hears of credit that can be given. */
export type CreditListener = (upToOffset: number) => void;

/** The answer to one request, from the first byte to the last. */
export class AnswerRelay {
  readonly #caller: Caller;

  #status: number | undefined;

  #deliveredBytes = 0;

  #creditOffset = CREDIT_WINDOW_BYTES;

  #isBlocked = false;

  #onCredit: CreditListener | undefined;

  constructor(caller: Caller) {
    this.#caller = caller;
    caller.onDrain(() => this.#handleDrain());
  }

  /** Whether the caller has been given a part of the answer. */
  get isCommitted(): boolean {
    return this.#status !== undefined;
  }

  /** Offset of the next byte that the caller needs. */
  get deliveredBytes(): number {
    return this.#deliveredBytes;
  }

  /** Whether the caller is slow to take bytes. */
  get isBlocked(): boolean {
    return this.#isBlocked;
  }

  /** Credit for a submission or inquiry made now. */
  get creditBytes(): number {
    return this.#isBlocked ? 0 : CREDIT_WINDOW_BYTES;
  }

  /** Names who hears of credit; undefined where no attempt is under way. */
  setCreditListener(onCredit: CreditListener | undefined): void {
    this.#onCredit = onCredit;
  }

  /** Begins the answer; a repeated head must be the same. */
  relayHead(status: number, headers: HeaderMap): RelayResult {
    if (this.#status !== undefined) {
      return this.#status === status ? RelayResult.Known : RelayResult.Broken;
    }
    this.#status = status;
    this.#caller.writeHead(status, headers);
    return RelayResult.Taken;
  }

  /** Hands on what the caller does not have yet. */
  relayData(offset: number, data: Uint8Array): RelayResult {
    if (this.#status === undefined || offset > this.#deliveredBytes) return RelayResult.Gap;
    const newBytes = data.subarray(this.#deliveredBytes - offset);
    if (newBytes.length === 0) return RelayResult.Known;
    this.#deliveredBytes += newBytes.length;
    if (this.#caller.writeData(newBytes)) this.#extendCredit();
    else this.#isBlocked = true;
    return RelayResult.Taken;
  }

  /** Completes the answer where it is whole. */
  relayEnd(totalBytes: number): RelayResult {
    if (totalBytes < this.#deliveredBytes) return RelayResult.Broken;
    if (this.#status === undefined || totalBytes > this.#deliveredBytes) return RelayResult.Gap;
    this.#caller.end();
    return RelayResult.Taken;
  }

  /** Ends the request without a whole answer. */
  refuse(refusal: Refusal): void {
    if (this.isCommitted) this.#caller.abort(refusal);
    else this.#caller.refuse(refusal);
  }

  /** Gives the whole window anew, as after an inquiry. */
  renewCredit(): void {
    if (this.#isBlocked) return;
    this.#creditOffset = this.#deliveredBytes + CREDIT_WINDOW_BYTES;
    this.#onCredit?.(this.#creditOffset);
  }

  #extendCredit(): void {
    const remainingBytes = this.#creditOffset - this.#deliveredBytes;
    if (remainingBytes <= CREDIT_WINDOW_BYTES / 2) this.renewCredit();
  }

  #handleDrain(): void {
    if (!this.#isBlocked) return;
    this.#isBlocked = false;
    this.renewCredit();
  }
}
