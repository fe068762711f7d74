/**
 * Concurrency limit of an upstream, between its cold and its warm limit.
 *
 * The limit rises by one for each attempt that completes, so it doubles at most once per service
 * time. It never rises by time alone. Attempts admitted before the latest reduction do not count,
 * nor do attempts that complete while less than half of the limit is in use.
 */

/** Configured limits of the upstream. */
export interface LimitRange {
  readonly coldLimit: number;
  readonly warmLimit: number;
}

/** Raises the limit step by step and lowers it at once. */
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

  /** Incremented with every reduction; attempts of older generations do not raise the limit. */
  get generation(): number {
    return this.#generation;
  }

  /** Applies the configured limits. */
  setRange(range: LimitRange): void {
    this.#range = range;
    this.#limit = Math.min(Math.max(this.#limit, this.#coldLimit), range.warmLimit);
  }

  /**
   * Raises the limit by one after a completed attempt.
   *
   * @param generation generation in which the attempt was admitted
   * @param inFlight attempts in flight when it completed, including itself
   */
  increase(generation: number, inFlight: number): void {
    if (generation !== this.#generation || inFlight * 2 < this.#limit) return;
    this.#limit = Math.min(this.#limit + 1, this.#range.warmLimit);
  }

  /** Lowers the limit to the cold limit. */
  resetToCold(): void {
    this.#generation += 1;
    this.#limit = this.#coldLimit;
  }

  /** Halves the limit after the upstream reported overload; the cold limit is the lower bound. */
  halve(): void {
    this.#generation += 1;
    this.#limit = Math.max(this.#coldLimit, Math.floor(this.#limit / 2));
  }

  /** Limit to apply while load reports cannot be read; the ramp itself does not change. */
  clampToCold(): number {
    return Math.min(this.#limit, this.#coldLimit);
  }

  get #coldLimit(): number {
    return Math.min(this.#range.coldLimit, this.#range.warmLimit);
  }
}
