/**
 * Whether the upstreams of a pool answer this entry at all.
 *
 * Engines of a group give events at every pass: several requests without any event for some passes
 * are no matter of one upstream.
 */

/** Requests in flight without any event from which silence is the pool's. */
const SILENT_REQUESTS = 4;

/** What this entry sees of one pool. */
export class PoolActivity {
  #inFlight = 0;

  /** When the requests in flight became as many as it takes to judge silence. */
  #busyAtMs = Number.NEGATIVE_INFINITY;

  /** When an upstream of the pool last gave something of an answer. */
  #servedAtMs = Number.NEGATIVE_INFINITY;

  /** Requests of this entry that have not ended. */
  get inFlight(): number {
    return this.#inFlight;
  }

  noteStart(nowMs: number): void {
    this.#inFlight += 1;
    if (this.#inFlight === SILENT_REQUESTS) this.#busyAtMs = nowMs;
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

  /** Whether several requests have had nothing for a span. */
  isSilent(nowMs: number, spanMs: number): boolean {
    if (this.#inFlight < SILENT_REQUESTS) return false;
    return nowMs - Math.max(this.#servedAtMs, this.#busyAtMs) > spanMs;
  }
}
