/** Demand of one entry for permits of one pool. */

/** Time after which a request counts for 1/e in the measured rate. */
const RATE_DECAY_MS = 1_000;

/** Requests of one pool in this entry. */
export class PoolDemand {
  #waiting = 0;

  /** Exponentially decayed count of requests. */
  #requests = 0;

  #countedAtMs = 0;

  #onWaiting: (() => void) | undefined;

  /** Number of requests that wait for admission. */
  get waiting(): number {
    return this.#waiting;
  }

  /** Sets the listener that is called when more requests wait than before. */
  onWaiting(listener: () => void): void {
    this.#onWaiting = listener;
  }

  setWaiting(waiting: number): void {
    const hasGrown = waiting > this.#waiting;
    this.#waiting = waiting;
    if (hasGrown) this.#onWaiting?.();
  }

  noteArrival(nowMs: number): void {
    this.#requests = this.#readRequests(nowMs) + 1;
    this.#countedAtMs = nowMs;
  }

  /** Number of requests that are expected within a time span. */
  expect(spanMs: number, nowMs: number): number {
    return (this.#readRequests(nowMs) * spanMs) / RATE_DECAY_MS;
  }

  #readRequests(nowMs: number): number {
    return this.#requests * Math.exp((this.#countedAtMs - nowMs) / RATE_DECAY_MS);
  }
}
