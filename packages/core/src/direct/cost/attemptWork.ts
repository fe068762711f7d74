/** Work of one attempt that its upstream has yet to do. */
import { readTokensLeft, type RequestCost } from './requestCost.js';
import type { WorkLeft } from './workLeft.js';

/** One attempt's work at an upstream. */
export class AttemptWork {
  readonly #cost: RequestCost;

  #tokensOut = 0;

  #hasOutput = false;

  /** @param earlierEvents events that earlier attempts at the request have given */
  constructor(cost: RequestCost, earlierEvents: number) {
    this.#cost = cost;
    this.noteEvents(earlierEvents);
  }

  get hasOutput(): boolean {
    return this.#hasOutput;
  }

  noteFirstOutput(): void {
    this.#hasOutput = true;
  }

  noteEvents(count: number): void {
    this.#tokensOut += count * this.#cost.tokensPerEvent;
  }

  get left(): WorkLeft {
    const { prefillMs, stepMs } = this.#cost;
    return {
      prefillMs: this.#hasOutput ? 0 : prefillMs,
      decodeMs: readTokensLeft(this.#cost, this.#tokensOut) * stepMs,
      stepMs,
    };
  }
}
