/** Metrics kept in memory, for tests and the bench. */
import { Metrics } from '@radishbay/core/ports/metrics.js';

/** Counts by name; gauges and timings keep their last value. */
export class CountingMetrics extends Metrics {
  readonly #values = new Map<string, number>();

  /** Value under a name, 0 where there is none. */
  read(name: string): number {
    return this.#values.get(name) ?? 0;
  }

  override count(name: string): void {
    this.#values.set(name, this.read(name) + 1);
  }

  override gauge(name: string, value: number): void {
    this.#values.set(name, value);
  }

  override timing(name: string, valueMs: number): void {
    this.#values.set(name, valueMs);
  }
}
