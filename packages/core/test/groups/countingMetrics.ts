/** Metrics that count by name. */
import { Metrics } from '../../src/ports/metrics.js';

export class CountingMetrics extends Metrics {
  readonly counts = new Map<string, number>();

  override count(name: string): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }

  override gauge(name: string): void {
    this.count(name);
  }

  override timing(name: string): void {
    this.count(name);
  }
}
