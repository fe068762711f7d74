/**
 * Slows down a process's calls to the platform while the platform throttles.
 *
 * All callers of one process share one pace, so that they back off together. The factor doubles on
 * a throttled call and decreases by a step with each successful call, similar to AIMD congestion
 * control.
 */
import type { Result } from '../outcome.js';
import { StoreErrorKind, type StoreError } from '../ports/objectStore.js';

/** Maximum factor by which intervals grow. */
const FACTOR_MAX = 16;

/** Decrease of the factor with each successful call. */
const FACTOR_STEP = 0.5;

/** Factor that callers apply to the intervals between their calls to the platform. */
export class PlatformPace {
  readonly #factorMax: number;

  #factor = 1;

  /** @param factorMax maximum factor by which intervals grow */
  constructor(factorMax: number = FACTOR_MAX) {
    this.#factorMax = factorMax;
  }

  /** Factor by which intervals grow; 1 while calls are not throttled. */
  get factor(): number {
    return this.#factor;
  }

  /** Adapts the factor to the result of a call. */
  recordResult(result: Result<unknown, StoreError>): void {
    if (!result.ok && result.val.kind === StoreErrorKind.Throttled) {
      this.#factor = Math.min(this.#factorMax, this.#factor * 2);
      return;
    }
    if (result.ok) this.#factor = Math.max(1, this.#factor - FACTOR_STEP);
  }
}
