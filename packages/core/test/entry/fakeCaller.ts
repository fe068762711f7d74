/** A caller that records its answer. */
import type { Refusal } from '../../src/model/reason.js';
import { Caller } from '../../src/ports/caller.js';

/** Records one answer. Tests can make it apply backpressure or hang up. */
export class FakeCaller extends Caller {
  status = 0;

  text = '';

  isSlow = false;

  hasMemory = true;

  /** Calls that ended the answer, in order; a correct entry makes exactly one. */
  readonly ends: string[] = [];

  refusal: Refusal | undefined;

  #onDrain: (() => void) | undefined;

  #onGone: (() => void) | undefined;

  writeHead(status: number): void {
    this.status = status;
  }

  writeData(data: Uint8Array): boolean {
    this.text += new TextDecoder().decode(data);
    return !this.isSlow;
  }

  holdMemory(): boolean {
    return this.hasMemory;
  }

  end(): void {
    this.ends.push('end');
  }

  abort(refusal: Refusal): void {
    this.ends.push('abort');
    this.refusal = refusal;
  }

  refuse(refusal: Refusal): void {
    this.ends.push('refuse');
    this.refusal = refusal;
  }

  onDrain(listener: () => void): void {
    this.#onDrain = listener;
  }

  onDisconnect(listener: () => void): void {
    this.#onGone = listener;
  }

  drain(): void {
    this.isSlow = false;
    this.#onDrain?.();
  }

  hangUp(): void {
    this.#onGone?.();
  }
}
