import { Metrics } from '@radishbay/core/ports/metrics.js';

/** Sums up what is counted; keeps the last value of each gauge and timing. */
export class RecordingMetrics extends Metrics {
  readonly counts = new Map<string, number>();

  readonly values = new Map<string, number>();

  count(name: string): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }

  gauge(name: string, value: number): void {
    this.values.set(name, value);
  }

  timing(name: string, valueMs: number): void {
    this.values.set(name, valueMs);
  }
}
