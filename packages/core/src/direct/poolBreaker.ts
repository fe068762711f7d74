/**
 * Notices that a whole pool takes no work, as its group of engines has lost a rank.
 *
 * Answers the load pattern of a stalled group: all streams break off, and all engines refuse until
 * the rank is back. So only one request after the other is let through to find out.
 */

/** Failed attempts, with no event of any stream between them, from which a pool is stalled. */
const FAILURES_MAX = 3;

/** Time between two requests that are let through to a stalled pool. */
const PROBE_MS = 250;

/** Breaker of one pool. */
export class PoolBreaker {
  #failures = 0;

  #probedAtMs = Number.NEGATIVE_INFINITY;

  get isOpen(): boolean {
    return this.#failures >= FAILURES_MAX;
  }

  /** @returns whether the pool has just been found stalled */
  noteFailure(): boolean {
    this.#failures += 1;
    return this.#failures === FAILURES_MAX;
  }

  /** @returns whether the pool was stalled until now */
  noteService(): boolean {
    const wasOpen = this.isOpen;
    this.#failures = 0;
    return wasOpen;
  }

  /**
   * Whether a request may be sent now; of a stalled pool one in a while.
   *
   * @param apartMs time between two requests that are let through
   */
  mayPass(nowMs: number, apartMs = PROBE_MS): boolean {
    if (!this.isOpen) return true;
    if (nowMs - this.#probedAtMs < apartMs) return false;
    this.#probedAtMs = nowMs;
    return true;
  }
}
