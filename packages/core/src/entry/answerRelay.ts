/**
 * Relays the answer to one request from its attempts to the caller.
 *
 * Every byte has an offset. Bytes that the caller already has are skipped, bytes after a gap are
 * rejected, and the answer is completed only if its length equals the total that the side process
 * reported. Flow control: the side process gets credit only as the caller accepts bytes.
 */
import { isFinalStatus } from '../model/responseStatus.js';
import type { HeaderMap } from '../model/request.js';
import type { Caller } from '../ports/caller.js';
import type { Refusal } from '../model/reason.js';

/** Flow-control window: bytes that a side process may send beyond those relayed to the caller. */
export const CREDIT_WINDOW_BYTES = 262_144;

/** Result of relaying a part of the answer. */
export enum RelayResult {
  /** Passed on to the caller. */
  Taken = 'taken',
  /** The caller already has all of it. */
  Known = 'known',
  /** An earlier part is missing. */
  Gap = 'gap',
  /** Contradicts a part that was already relayed, or cannot be relayed at all. */
  Broken = 'broken',
}

/** Called when the side process may send bytes up to a new offset. */
export type CreditListener = (upToOffset: number) => void;

/** Relays the answer to one request, across all of its attempts. */
export class AnswerRelay {
  readonly #caller: Caller;

  #status: number | undefined;

  #deliveredBytes = 0;

  #creditOffset = CREDIT_WINDOW_BYTES;

  #isBlocked = false;

  #isEnded = false;

  #onCredit: CreditListener | undefined;

  constructor(caller: Caller) {
    this.#caller = caller;
    caller.onDrain(() => this.#handleDrain());
  }

  /** Whether the head of the answer has been written to the caller. */
  get isCommitted(): boolean {
    return this.#status !== undefined;
  }

  /** Offset of the next byte that the caller needs. */
  get deliveredBytes(): number {
    return this.#deliveredBytes;
  }

  /** Whether the caller applies backpressure. */
  get isBlocked(): boolean {
    return this.#isBlocked;
  }

  /** Initial credit for a submission or inquiry sent now. */
  get creditBytes(): number {
    return this.#isBlocked ? 0 : CREDIT_WINDOW_BYTES;
  }

  /** Sets the listener for new credit; undefined while no attempt is in flight. */
  setCreditListener(onCredit: CreditListener | undefined): void {
    this.#onCredit = onCredit;
  }

  /** Relays the head of the answer. A repeated head must have the same status. */
  relayHead(status: number, headers: HeaderMap): RelayResult {
    if (!isFinalStatus(status)) return RelayResult.Broken;
    if (this.#status !== undefined) {
      return this.#status === status ? RelayResult.Known : RelayResult.Broken;
    }
    this.#status = status;
    this.#caller.writeHead(status, headers);
    return RelayResult.Taken;
  }

  /** Relays the bytes that the caller does not have yet. */
  relayData(offset: number, data: Uint8Array): RelayResult {
    if (this.#status === undefined || offset > this.#deliveredBytes) return RelayResult.Gap;
    const newBytes = data.subarray(this.#deliveredBytes - offset);
    if (newBytes.length === 0) return RelayResult.Known;
    this.#deliveredBytes += newBytes.length;
    if (this.#caller.writeData(newBytes)) this.#extendCredit();
    else this.#isBlocked = true;
    return RelayResult.Taken;
  }

  /** Completes the answer if all of its bytes have been relayed. */
  relayEnd(totalBytes: number): RelayResult {
    if (totalBytes < this.#deliveredBytes) return RelayResult.Broken;
    if (this.#status === undefined || totalBytes > this.#deliveredBytes) return RelayResult.Gap;
    this.#isEnded = true;
    this.#caller.end();
    return RelayResult.Taken;
  }

  /** Ends the request without a complete answer: aborts an answer that has begun. */
  refuse(refusal: Refusal): void {
    if (this.#isEnded) return;
    if (this.isCommitted) this.#caller.abort(refusal);
    else this.#caller.refuse(refusal);
  }

  /** Grants a full window from the current offset, unless the caller applies backpressure. */
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
