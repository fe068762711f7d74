/**
 * How much less often a process calls the platform while that is slow or throttles.
 *
 * All callers of one process share one pace, so that they back off together: the factor doubles
 * on a throttled call and shrinks with each call that went through, as AIMD does for congestion.
 */
import type { Result } from '../outcome.js';
import { StoreErrorKind, type StoreError } from '../ports/objectStore.js';

/** Longest stretch of intervals. */
const FACTOR_MAX = 16;

/** What the factor loses with each call that went through. */
const FACTOR_STEP = 0.5;

/** Stretch of the intervals between calls of the platform. */
export class PlatformPace {
  readonly #factorMax: number;

  #factor = 1;

  /** @param factorMax longest stretch of intervals */
  constructor(factorMax: number = FACTOR_MAX) {
    this.#factorMax = factorMax;
  }

  /** Factor by which intervals grow, 1 where the platform is well. */
  get factor(): number {
    return this.#factor;
  }

  /** Takes in how a call went. */
  note(result: Result<unknown, StoreError>): void {
    if (!result.ok && result.val.kind === StoreErrorKind.Throttled) {
      this.#factor = Math.min(this.#factorMax, this.#factor * 2);
      return;
    }
    if (result.ok) this.#factor = Math.max(1, this.#factor - FACTOR_STEP);
  }
}
