/** Records when a request was admitted and when the events of its response arrived. */

/** Rounds a time for a log line; an unknown time stays undefined. */
function round(spanMs: number | undefined): number | undefined {
  return spanMs === undefined ? undefined : Math.round(spanMs);
}

/** Times of one request, relative to its arrival. */
export class ResponseTimes {
  readonly #arrivedAtMs: number;

  #waitedMs: number | undefined;

  #firstMs: number | undefined;

  #longestPauseMs = 0;

  #eventAtMs = 0;

  /** When a slow caller was ready for more data again. */
  #resumedAtMs = Number.NEGATIVE_INFINITY;

  constructor(arrivedAtMs: number) {
    this.#arrivedAtMs = arrivedAtMs;
  }

  /** Time from arrival to the first event; undefined before it. */
  get firstMs(): number | undefined {
    return this.#firstMs;
  }

  /** Time from arrival to admission; undefined before it. */
  get waitedMs(): number | undefined {
    return this.#waitedMs;
  }

  /** Time from the first event to the latest one. */
  get streamedMs(): number {
    if (this.#firstMs === undefined) return 0;
    return this.#eventAtMs - this.#arrivedAtMs - this.#firstMs;
  }

  /** Time for which the caller has received nothing. */
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
   * Records the arrival of events.
   *
   * @returns the pause since the previous events; undefined for the first ones
   */
  noteEvents(nowMs: number): number | undefined {
    const pauseMs = this.#firstMs === undefined ? undefined : nowMs - this.#eventAtMs;
    this.#firstMs ??= nowMs - this.#arrivedAtMs;
    this.#longestPauseMs = Math.max(this.#longestPauseMs, pauseMs ?? 0);
    this.#eventAtMs = nowMs;
    return pauseMs;
  }

  /** Returns the times as fields of a log line. */
  describe(nowMs: number) {
    return {
      ageMs: round(nowMs - this.#arrivedAtMs),
      waitedMs: round(this.#waitedMs),
      firstMs: round(this.#firstMs),
      longestPauseMs: round(this.#longestPauseMs),
    };
  }
}
