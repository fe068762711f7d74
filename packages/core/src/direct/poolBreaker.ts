/**
 * Circuit breaker of a whole pool, for a group of engines that has lost a rank.
 *
 * Handles a stalled group: all streams break off, and all engines refuse requests until the rank is
 * back. Meanwhile only single requests are let through as probes.
 */

/** Number of failed attempts without an event of any stream between them that opens the breaker. */
const FAILURES_MAX = 3;

/** Interval between two probes of a stalled pool, in milliseconds. */
const PROBE_INTERVAL_MS = 250;

/** Source of a state change. */
export enum BreakerChangeSource {
  Own = 'own',
  Peer = 'peer',
}

/** Circuit breaker of one pool. */
export class PoolBreaker {
  #failures = 0;

  #lastProbeAtMs = Number.NEGATIVE_INFINITY;

  readonly #listeners = new Set<(source: BreakerChangeSource) => void>();

  get isOpen(): boolean {
    return this.#failures >= FAILURES_MAX;
  }

  /**
   * Adds a listener for state changes.
   *
   * @returns function that removes the listener
   */
  onChange(listener: (source: BreakerChangeSource) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  noteFailure(): void {
    this.#failures += 1;
    if (this.#failures === FAILURES_MAX) this.#notifyListeners(BreakerChangeSource.Own);
  }

  /** Records an event of a stream, or another sign that the pool accepts requests. */
  noteSuccess(source = BreakerChangeSource.Own): void {
    const wasOpen = this.isOpen;
    this.#failures = 0;
    if (wasOpen) this.#notifyListeners(source);
  }

  #notifyListeners(source: BreakerChangeSource): void {
    this.#listeners.forEach((listener) => listener(source));
  }

  /**
   * Whether a request may be sent now. While the breaker is open, one request per probe interval
   * passes.
   *
   * @param probeIntervalMs minimum time since the last probe
   */
  tryPass(nowMs: number, probeIntervalMs = PROBE_INTERVAL_MS): boolean {
    if (!this.canPass(nowMs, probeIntervalMs)) return false;
    if (this.isOpen) this.#lastProbeAtMs = nowMs;
    return true;
  }

  /** Whether {@link tryPass} would let a request pass now. */
  canPass(nowMs: number, probeIntervalMs = PROBE_INTERVAL_MS): boolean {
    return !this.isOpen || nowMs - this.#lastProbeAtMs >= probeIntervalMs;
  }
}
