/** A caller in memory: keeps what it was told, for the checks. */
import { Caller } from '@radishbay/core/ports/caller.js';
import type { Refusal } from '@radishbay/core/model/reason.js';

export enum CallerEnd {
  Waiting = 'WAITING',
  Answered = 'ANSWERED',
  /** Broken off after its head: visibly not whole. */
  Aborted = 'ABORTED',
  Refused = 'REFUSED',
}

/** One caller of one request. */
export class MemoryCaller extends Caller {
  #text = '';

  #status = 0;

  #end = CallerEnd.Waiting;

  #refusal: Refusal | undefined;

  #endedAtMs = 0;

  #gone: (() => void) | undefined;

  get text(): string {
    return this.#text;
  }

  get status(): number {
    return this.#status;
  }

  get outcome(): CallerEnd {
    return this.#end;
  }

  get refusal(): Refusal | undefined {
    return this.#refusal;
  }

  get endedAtMs(): number {
    return this.#endedAtMs;
  }

  /** The caller hangs up. */
  hangUp(): void {
    if (this.#end !== CallerEnd.Waiting) return;
    this.#finish(CallerEnd.Aborted);
    this.#gone?.();
  }

  /** The connection breaks as its entry dies: the caller sees that the answer is not whole. */
  breakOff(): void {
    if (this.#end === CallerEnd.Waiting) this.#finish(CallerEnd.Aborted);
  }

  override writeHead(status: number): void {
    this.#status = status;
  }

  override writeData(data: Uint8Array): boolean {
    this.#text += Buffer.from(data).toString();
    return true;
  }

  override holdMemory(): boolean {
    return true;
  }

  override end(): void {
    this.#finish(CallerEnd.Answered);
  }

  override abort(refusal: Refusal): void {
    this.#refusal = refusal;
    this.#finish(CallerEnd.Aborted);
  }

  override refuse(refusal: Refusal): void {
    this.#refusal = refusal;
    this.#finish(CallerEnd.Refused);
  }

  override onDrain(): void {}

  override onDisconnect(listener: () => void): void {
    this.#gone = listener;
  }

  #finish(end: CallerEnd): void {
    if (this.#end !== CallerEnd.Waiting) throw new Error(`caller was told twice: ${end}`);
    this.#end = end;
    this.#endedAtMs = Date.now();
  }
}
