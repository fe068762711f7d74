/** Work of one attempt that its upstream has yet to do. */
import { readTokensLeft, type RequestCost } from './requestCost.js';
import { fadePrefill, type PassClock, type WorkLeft } from './workLeft.js';

export interface AttemptWorkOptions {
  readonly cost: RequestCost;
  /** Events that earlier attempts at the request have given. */
  readonly earlierEvents: number;
  readonly sentAtMs: number;
}

/** One attempt's work at an upstream. */
export class AttemptWork {
  readonly #cost: RequestCost;

  readonly #sentAtMs: number;

  #tokensOut = 0;

  #hasOutput = false;

  constructor({ cost, earlierEvents, sentAtMs }: AttemptWorkOptions) {
    this.#cost = cost;
    this.#sentAtMs = sentAtMs;
    this.noteEvents(earlierEvents);
  }

  noteFirstOutput(): void {
    this.#hasOutput = true;
  }

  noteEvents(count: number): void {
    this.#tokensOut += count * this.#cost.tokensPerEvent;
  }

  readLeft(clock: PassClock): WorkLeft {
    const { prefillMs, stepMs } = this.#cost;
    return {
      prefillMs: this.#hasOutput ? 0 : fadePrefill(prefillMs, this.#sentAtMs, clock),
      decodeMs: readTokensLeft(this.#cost, this.#tokensOut) * stepMs,
      stepMs,
    };
  }
}
