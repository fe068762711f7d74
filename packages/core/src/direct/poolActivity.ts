/**
 * Whether the upstreams of a pool answer this entry at all, and how fast.
 *
 * Engines of a group give events at every pass: several requests without any event for some passes
 * are no matter of one upstream.
 */

/**
 * Weights of the newest pause in the short and the long mean. A pass of a loaded group gives an
 * entry some ten to twenty pauses: the short mean is one pass old, the long one about a second.
 */
const SHORT_WEIGHT = 0.1;
const LONG_WEIGHT = 0.005;

/** Ratio of the two from which passes have become slower, beyond what reading prompts does. */
const SLOWED_RATIO = 1.3;

/** What this entry sees of one pool. */
export class PoolActivity {
  #inFlight = 0;

  /** Smoothed pauses between events, which are as long as the group's passes. */
  #shortPauseMs = 0;

  #longPauseMs = 0;

  /** When the requests in flight last rose to a number, by that number. */
  readonly #levelReachedAtMs: number[] = [];

  /** When an upstream of the pool last gave something of an answer. */
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

  noteService(nowMs: number): void {
    this.#lastOutputAtMs = nowMs;
  }

  /** Notes a pause between two events of a stream. */
  notePause(pauseMs: number): void {
    const longMs = this.#longPauseMs || pauseMs;
    const shortMs = this.#shortPauseMs || pauseMs;
    this.#shortPauseMs = shortMs + SHORT_WEIGHT * (pauseMs - shortMs);
    this.#longPauseMs = longMs + LONG_WEIGHT * (pauseMs - longMs);
  }

  /** Pauses of about the last second; undefined before the first one. */
  get meanPauseMs(): number | undefined {
    return this.#longPauseMs > 0 ? this.#longPauseMs : undefined;
  }

  /** Whether the group's passes have become slower of late. */
  get hasSlowed(): boolean {
    return this.#shortPauseMs > this.#longPauseMs * SLOWED_RATIO;
  }

  /** Takes the passes as they are now for the usual ones. */
  acceptPauses(): void {
    this.#longPauseMs = this.#shortPauseMs;
  }

  /** Whether something of an answer has come within a span. */
  isLive(nowMs: number, withinMs: number): boolean {
    return nowMs - this.#lastOutputAtMs < withinMs;
  }

  /** Whether as many requests at least have had nothing for a span. */
  isSilent(nowMs: number, spanMs: number, minRequests: number): boolean {
    if (this.#inFlight < minRequests) return false;
    const busyAtMs = this.#levelReachedAtMs[minRequests] ?? nowMs;
    return nowMs - Math.max(this.#lastOutputAtMs, busyAtMs) > spanMs;
  }
}
