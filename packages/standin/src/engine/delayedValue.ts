/** A value that readers see late. */

interface Reading<T> {
  readonly value: T;
  readonly atMs: number;
}

/** Keeps readings and shows the one that was current a while ago. */
export class Lagged<T> {
  readonly #lagMs: number;

  #readings: Reading<T>[];

  constructor(lagMs: number, first: T) {
    this.#lagMs = lagMs;
    this.#readings = [{ value: first, atMs: -Infinity }];
  }

  write(value: T, nowMs: number): void {
    this.#forget(nowMs);
    this.#readings.push({ value, atMs: nowMs });
  }

  /** The value as it was one lag ago. */
  read(nowMs: number): T {
    this.#forget(nowMs);
    const [oldest] = this.#readings;
    if (!oldest) throw new Error('a lagged value has at least one reading');
    return oldest.value;
  }

  /** Drops readings that no reader can see any more. */
  #forget(nowMs: number): void {
    const seen = this.#readings.filter(({ atMs }) => atMs <= nowMs - this.#lagMs).length;
    if (seen > 1) this.#readings = this.#readings.slice(seen - 1);
  }
}
