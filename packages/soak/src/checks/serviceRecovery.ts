import type { SeenAnswer, SentRequest } from '../record/observation.js';

import { Check } from './check.js';

/** Part of the requests that is served again, as the promise states it. */
const SERVED_PART_MIN = 0.25;

/** Requests from which the part means something. */
const REQUESTS_MIN = 20;

/** Service is back some seconds after the last fault. */
export class BackInService extends Check {
  override readonly promise = 'back in service in time';

  #quietFromMs = Number.POSITIVE_INFINITY;

  #asked = 0;

  #served = 0;

  /** Tells when the last fault has ended. */
  noteQuiet(atMs: number): void {
    this.#quietFromMs = atMs;
  }

  override noteAnswer({ sentAtMs, generation }: SentRequest, answer: SeenAnswer): void {
    const isCounted = generation === undefined;
    if (!isCounted || sentAtMs < this.#quietFromMs + this.context.bounds.recoverMs) return;
    this.#asked += 1;
    if (answer.status === 200 && answer.isWhole) this.#served += 1;
  }

  override finish(nowMs: number): void {
    if (this.#asked < REQUESTS_MIN) {
      this.report(`only ${this.#asked} requests were answered after the last fault`, nowMs);
    } else if (this.#served < this.#asked * SERVED_PART_MIN) {
      this.report(`${this.#served} of ${this.#asked} requests are served after the faults`, nowMs);
    }
  }
}
