/** A value that becomes visible to readers after a delay. */

interface Reading<T> {
  readonly value: T;
  readonly atMs: number;
}

/** Stores timestamped values and returns the one that was current `lagMs` ago. */
export class DelayedValue<T> {
  readonly #lagMs: number;

  #readings: Reading<T>[];

  constructor(lagMs: number, first: T) {
    this.#lagMs = lagMs;
    this.#readings = [{ value: first, atMs: -Infinity }];
  }

  write(value: T, nowMs: number): void {
    this.#discardObsolete(nowMs);
    this.#readings.push({ value, atMs: nowMs });
  }

  /** Returns the value that was current `lagMs` before the given time. */
  read(nowMs: number): T {
    this.#discardObsolete(nowMs);
    const [oldest] = this.#readings;
    if (!oldest) throw new Error('a delayed value must have at least one reading');
    return oldest.value;
  }

  /** Discards readings older than the one that readers see. */
  #discardObsolete(nowMs: number): void {
    const visibleCount = this.#readings.filter(({ atMs }) => atMs <= nowMs - this.#lagMs).length;
    if (visibleCount > 1) this.#readings = this.#readings.slice(visibleCount - 1);
  }
}
