import type { ObservedResponse, SentRequest } from '../record/observation.js';

import { Check } from './check.js';

/** Part of the requests that is served again, as the promise states it. */
const SERVED_RATIO_MIN = 0.25;

/** Requests from which the part means something. */
const REQUESTS_MIN = 20;

/** Service is back some seconds after the last fault. */
export class ServiceRecovery extends Check {
  override readonly invariant = 'back in service in time';

  #faultsEndedAtMs = Number.POSITIVE_INFINITY;

  #requestCount = 0;

  #servedCount = 0;

  /** Tells when the last fault has ended. */
  setFaultsEnded(atMs: number): void {
    this.#faultsEndedAtMs = atMs;
  }

  override onResponse({ sentAtMs, generation }: SentRequest, response: ObservedResponse): void {
    const isCounted = generation === undefined;
    if (!isCounted || sentAtMs < this.#faultsEndedAtMs + this.context.bounds.recoverMs) return;
    this.#requestCount += 1;
    if (response.status === 200 && response.isWhole) this.#servedCount += 1;
  }

  override onFinish(nowMs: number): void {
    if (this.#requestCount < REQUESTS_MIN) {
      this.report(`only ${this.#requestCount} requests were answered after the last fault`, nowMs);
    } else if (this.#servedCount < this.#requestCount * SERVED_RATIO_MIN) {
      this.report(
        `${this.#servedCount} of ${this.#requestCount} requests are served after the faults`,
        nowMs,
      );
    }
  }
}
