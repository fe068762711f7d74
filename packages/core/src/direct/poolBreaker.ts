/**
 * Notices that a whole pool takes no work, as its group of engines has lost a rank.
 *
 * Answers the load pattern of a stalled group: all streams break off, and all engines refuse until
 * the rank is back. So only one request after the other is let through to find out.
 */

/** Failed attempts, with no event of any stream between them, from which a pool is stalled. */
const FAILURES_MAX = 3;

/** Time between two requests that are let through to a stalled pool. */
const PROBE_INTERVAL_MS = 250;

/** Where the news of a change came from. */
export enum BreakerChangeSource {
  Own = 'own',
  Peer = 'peer',
}

/** Breaker of one pool. */
export class PoolBreaker {
  #failures = 0;

  #lastProbeAtMs = Number.NEGATIVE_INFINITY;

  readonly #listeners = new Set<(source: BreakerChangeSource) => void>();

  get isOpen(): boolean {
    return this.#failures >= FAILURES_MAX;
  }

  /**
   * Names one more listener for the pool's stalls and their ends.
   *
   * @returns function that takes it away
   */
  onChange(listener: (source: BreakerChangeSource) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  noteFailure(): void {
    this.#failures += 1;
    if (this.#failures === FAILURES_MAX) this.#notifyListeners(BreakerChangeSource.Own);
  }

  /** Notes an event of a stream, or another sign that the pool takes work. */
  noteService(source = BreakerChangeSource.Own): void {
    const wasOpen = this.isOpen;
    this.#failures = 0;
    if (wasOpen) this.#notifyListeners(source);
  }

  #notifyListeners(source: BreakerChangeSource): void {
    this.#listeners.forEach((listener) => listener(source));
  }

  /**
   * Whether a request may be sent now; of a stalled pool one in a while.
   *
   * @param probeIntervalMs time between two requests that are let through
   */
  tryPass(nowMs: number, probeIntervalMs = PROBE_INTERVAL_MS): boolean {
    if (!this.isOpen) return true;
    if (nowMs - this.#lastProbeAtMs < probeIntervalMs) return false;
    this.#lastProbeAtMs = nowMs;
    return true;
  }
}
