/** Token bucket whose rate and size may change over time. */

/** Tokens of one limit. */
export class TokenBucket {
  #tokens: number;

  #refilledAtMs: number;

  #readySinceMs: number;

  constructor(tokens: number, nowMs: number) {
    this.#tokens = tokens;
    this.#refilledAtMs = nowMs;
    this.#readySinceMs = nowMs;
  }

  get tokens(): number {
    return this.#tokens;
  }

  /** Time for which it has held at least one token. */
  readReadyMs(nowMs: number): number {
    return this.#tokens >= 1 ? nowMs - this.#readySinceMs : 0;
  }

  /**
   * Adds the tokens that have accrued.
   *
   * @param burstMs time whose tokens it can hold; it can always hold one
   */
  refill(perMs: number, burstMs: number, nowMs: number): void {
    if (this.#tokens < 1) this.#readySinceMs = nowMs;
    const filled = this.#tokens + (nowMs - this.#refilledAtMs) * perMs;
    this.#tokens = Math.min(Math.max(1, perMs * burstMs), filled);
    this.#refilledAtMs = nowMs;
  }

  /** Removes one token. */
  take(): void {
    this.#tokens -= 1;
  }
}
