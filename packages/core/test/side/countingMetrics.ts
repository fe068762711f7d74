/** Metrics that a test can read. */
import { Metrics } from '../../src/ports/metrics.js';

export class CountingMetrics extends Metrics {
  readonly counts = new Map<string, number>();

  readonly #values = new Map<string, number>();

  /** Counts of a name with the value of its first tag, such as `side.refused:shutting-down`. */
  read(name: string): number {
    return this.counts.get(name) ?? 0;
  }

  count(name: string, tags: Readonly<Record<string, string>> = {}): void {
    const key = [name, ...Object.values(tags)].join(':');
    this.counts.set(key, this.read(key) + 1);
  }

  gauge(name: string, value: number): void {
    this.#values.set(name, value);
  }

  timing(name: string, valueMs: number): void {
    this.#values.set(name, valueMs);
  }
}
