/**
 * The concurrency limit of an upstream between its cold and its warm limit.
 *
 * It rises by one for each attempt that completes, so it doubles at most once per service time. It
 * never rises by time alone. Evidence from before the latest fall does not count, nor does that of
 * an upstream that was not even half used.
 */

/** Limits that the configuration names. */
export interface LimitRange {
  readonly coldLimit: number;
  readonly warmLimit: number;
}

/** Rises on evidence and falls at once. */
export class LimitRamp {
  #range: LimitRange = { coldLimit: 0, warmLimit: 0 };

  #limit = 0;

  #generation = 0;

  get limit(): number {
    return this.#limit;
  }

  get isCold(): boolean {
    return this.#limit <= this.#coldLimit;
  }

  get isWarm(): boolean {
    return this.#limit > 0 && this.#limit >= this.#range.warmLimit;
  }

  /** Grows with every fall; what was admitted before is no evidence. */
  get generation(): number {
    return this.#generation;
  }

  /** Takes the configured limits in. */
  setRange(range: LimitRange): void {
    this.#range = range;
    this.#limit = Math.min(Math.max(this.#limit, this.#coldLimit), range.warmLimit);
  }

  /**
   * Rises after a completed attempt.
   *
   * @param generation generation in which it was admitted
   * @param inFlight attempts at the moment it completed, itself included
   */
  increase(generation: number, inFlight: number): void {
    if (generation !== this.#generation || inFlight * 2 < this.#limit) return;
    this.#limit = Math.min(this.#limit + 1, this.#range.warmLimit);
  }

  /** Falls back to the cold limit. */
  resetToCold(): void {
    this.#generation += 1;
    this.#limit = this.#coldLimit;
  }

  /** Halves the limit where the upstream says that it has too much. */
  halve(): void {
    this.#generation += 1;
    this.#limit = Math.max(this.#coldLimit, Math.floor(this.#limit / 2));
  }

  /** The limit that a part of the evidence supports for now. */
  clampToCold(): number {
    return Math.min(this.#limit, this.#coldLimit);
  }

  get #coldLimit(): number {
    return Math.min(this.#range.coldLimit, this.#range.warmLimit);
  }
}
