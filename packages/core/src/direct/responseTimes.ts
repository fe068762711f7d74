/** When a request got its turn, and when the events of its answer came. */

/** Rounds a time for a log line; what has not come stays undefined. */
function round(spanMs: number | undefined): number | undefined {
  return spanMs === undefined ? undefined : Math.round(spanMs);
}

/** Times of one request, since its arrival. */
export class ResponseTimes {
  readonly #arrivedAtMs: number;

  #waitedMs: number | undefined;

  #firstMs: number | undefined;

  #longestPauseMs = 0;

  #eventAtMs = 0;

  /** When a caller that was slow took more again. */
  #resumedAtMs = Number.NEGATIVE_INFINITY;

  constructor(arrivedAtMs: number) {
    this.#arrivedAtMs = arrivedAtMs;
  }

  /** Time to the first event; undefined before it. */
  get firstMs(): number | undefined {
    return this.#firstMs;
  }

  /** Time to the turn; undefined before it. */
  get waitedMs(): number | undefined {
    return this.#waitedMs;
  }

  /** Time from the first event to the last one so far. */
  get streamedMs(): number {
    if (this.#firstMs === undefined) return 0;
    return this.#eventAtMs - this.#arrivedAtMs - this.#firstMs;
  }

  /** Time for which the caller has had nothing. */
  readSilentMs(nowMs: number): number {
    const lastAtMs = this.#firstMs === undefined ? this.#arrivedAtMs : this.#eventAtMs;
    return nowMs - Math.max(lastAtMs, this.#resumedAtMs);
  }

  noteResumed(nowMs: number): void {
    this.#resumedAtMs = nowMs;
  }

  noteAdmitted(nowMs: number): void {
    this.#waitedMs = nowMs - this.#arrivedAtMs;
  }

  /**
   * Notes events that have come.
   *
   * @returns the pause since the events before; undefined with the first ones
   */
  noteEvents(nowMs: number): number | undefined {
    const pauseMs = this.#firstMs === undefined ? undefined : nowMs - this.#eventAtMs;
    this.#firstMs ??= nowMs - this.#arrivedAtMs;
    this.#longestPauseMs = Math.max(this.#longestPauseMs, pauseMs ?? 0);
    this.#eventAtMs = nowMs;
    return pauseMs;
  }

  /** Fields of a log line. */
  describe(nowMs: number) {
    return {
      ageMs: round(nowMs - this.#arrivedAtMs),
      waitedMs: round(this.#waitedMs),
      firstMs: round(this.#firstMs),
      longestPauseMs: round(this.#longestPauseMs),
    };
  }
}
