import type { ObservedResponse, SentRequest } from '../record/observation.js';

import { Check } from './check.js';

/** Least fraction of the requests that must succeed after recovery. */
const SERVED_RATIO_MIN = 0.25;

/** Below this number of requests the fraction is not meaningful. */
const REQUESTS_MIN = 20;

/** Checks that service recovers within a time limit after the last fault. */
export class ServiceRecovery extends Check {
  override readonly invariant = 'service recovers in time after the last fault';

  #faultsEndedAtMs = Number.POSITIVE_INFINITY;

  #requestCount = 0;

  #servedCount = 0;

  /** Sets the time at which the last fault ended. */
  markFaultsEnded(atMs: number): void {
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
      this.report(`only ${this.#requestCount} responses arrived after the recovery time`, nowMs);
    } else if (this.#servedCount < this.#requestCount * SERVED_RATIO_MIN) {
      this.report(
        `${this.#servedCount} of ${this.#requestCount} requests succeeded after the recovery time`,
        nowMs,
      );
    }
  }
}
