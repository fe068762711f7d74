/**
 * Notices that a whole pool takes no work, as its group of engines has lost a rank.
 *
 * Answers the load pattern of a stalled group: all engines refuse until the rank is back, so only
 * one request after the other is let through to find out, and the others are refused at once.
 */

/** Refusals by upstreams, with no event between them, from which the pool counts as stalled. */
const REFUSALS_MAX = 3;

/** Time between two requests that are let through to a stalled pool. */
const PROBE_MS = 250;

/** Breaker of one pool. */
export class PoolBreaker {
  #refusals = 0;

  #probedAtMs = Number.NEGATIVE_INFINITY;

  get isOpen(): boolean {
    return this.#refusals >= REFUSALS_MAX;
  }

  /** @returns whether the pool has just been found stalled */
  noteRefusal(): boolean {
    this.#refusals += 1;
    return this.#refusals === REFUSALS_MAX;
  }

  /** @returns whether the pool was stalled until now */
  noteService(): boolean {
    const wasOpen = this.isOpen;
    this.#refusals = 0;
    return wasOpen;
  }

  /** Whether a request may be sent now; of a stalled pool one in a while. */
  mayPass(nowMs: number): boolean {
    if (!this.isOpen) return true;
    if (nowMs - this.#probedAtMs < PROBE_MS) return false;
    this.#probedAtMs = nowMs;
    return true;
  }
}
