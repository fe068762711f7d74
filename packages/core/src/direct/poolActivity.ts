/**
 * Whether the upstreams of a pool answer this entry at all.
 *
 * Engines of a group give events at every pass: several requests without any event for some passes
 * are no matter of one upstream.
 */

/** What this entry sees of one pool. */
export class PoolActivity {
  #inFlight = 0;

  /** When the requests in flight last rose to a number, by that number. */
  readonly #reachedAtMs: number[] = [];

  /** When an upstream of the pool last gave something of an answer. */
  #servedAtMs = Number.NEGATIVE_INFINITY;

  /** Requests of this entry that have not ended. */
  get inFlight(): number {
    return this.#inFlight;
  }

  noteStart(nowMs: number): void {
    this.#inFlight += 1;
    this.#reachedAtMs[this.#inFlight] = nowMs;
  }

  noteEnd(): void {
    this.#inFlight -= 1;
  }

  noteService(nowMs: number): void {
    this.#servedAtMs = nowMs;
  }

  /** Whether something of an answer has come within a span. */
  isLive(nowMs: number, withinMs: number): boolean {
    return nowMs - this.#servedAtMs < withinMs;
  }

  /** Whether as many requests at least have had nothing for a span. */
  isSilent(nowMs: number, spanMs: number, requests: number): boolean {
    if (this.#inFlight < requests) return false;
    const busyAtMs = this.#reachedAtMs[requests] ?? nowMs;
    return nowMs - Math.max(this.#servedAtMs, busyAtMs) > spanMs;
  }
}
