/**
 * Tracks whether and how fast the upstreams of a pool respond to this entry.
 *
 * Engines of a group emit events with every pass. If several requests receive no event for several
 * passes, the cause is not a single upstream.
 */

/**
 * Weights of the newest pause in the short-term and long-term means. A pass of a loaded group gives
 * an entry ten to twenty pauses: the short-term mean covers one pass, the long-term one about a
 * second.
 */
const SHORT_WEIGHT = 0.1;
const LONG_WEIGHT = 0.005;

/**
 * Ratio of short-term to long-term mean from which passes have slowed down, beyond the effect of
 * prefills.
 */
const SLOWED_RATIO = 1.3;

/** Observations of this entry about one pool. */
export class PoolActivity {
  #inFlight = 0;

  /** Smoothed pauses between events, which are as long as the group's passes. */
  #shortPauseMs = 0;

  #longPauseMs = 0;

  /** Time at which the number of requests in flight last rose to the value of the index. */
  readonly #levelReachedAtMs: number[] = [];

  /** When an upstream of the pool last produced output. */
  #lastOutputAtMs = Number.NEGATIVE_INFINITY;

  /** Requests of this entry that have not ended. */
  get inFlight(): number {
    return this.#inFlight;
  }

  noteStart(nowMs: number): void {
    this.#inFlight += 1;
    this.#levelReachedAtMs[this.#inFlight] = nowMs;
  }

  noteEnd(): void {
    this.#inFlight -= 1;
  }

  noteOutput(nowMs: number): void {
    this.#lastOutputAtMs = nowMs;
  }

  /** Records a pause between two events of a stream. */
  notePause(pauseMs: number): void {
    const longMs = this.#longPauseMs || pauseMs;
    const shortMs = this.#shortPauseMs || pauseMs;
    this.#shortPauseMs = shortMs + SHORT_WEIGHT * (pauseMs - shortMs);
    this.#longPauseMs = longMs + LONG_WEIGHT * (pauseMs - longMs);
  }

  /** Mean pause over about the last second; undefined before the first pause. */
  get meanPauseMs(): number | undefined {
    return this.#longPauseMs > 0 ? this.#longPauseMs : undefined;
  }

  /** Whether the group's passes have slowed down recently. */
  get hasSlowed(): boolean {
    return this.#shortPauseMs > this.#longPauseMs * SLOWED_RATIO;
  }

  /** Takes the current pass time as the new baseline. */
  resetPauseBaseline(): void {
    this.#longPauseMs = this.#shortPauseMs;
  }

  /** Whether the pool has produced output within a time window. */
  isLive(nowMs: number, withinMs: number): boolean {
    return nowMs - this.#lastOutputAtMs < withinMs;
  }

  /** Whether at least the given number of requests has received no output for the given time. */
  isSilent(nowMs: number, spanMs: number, minRequests: number): boolean {
    if (this.#inFlight < minRequests) return false;
    const busyAtMs = this.#levelReachedAtMs[minRequests] ?? nowMs;
    return nowMs - Math.max(this.#lastOutputAtMs, busyAtMs) > spanMs;
  }
}
