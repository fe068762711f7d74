/** Latencies in an HDR histogram of microseconds. */
import hdr, { type Histogram } from 'hdr-histogram-js';

const US_PER_MS = 1_000;
const HIGHEST_US = 3_600_000_000;

/** Percentiles of a histogram, in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly meanMs: number;
  readonly p50Ms: number;
  readonly p90Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

/** Records latencies with three significant digits. */
export class LatencyHistogram {
  readonly #histogram: Histogram = hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_US,
    numberOfSignificantValueDigits: 3,
  });

  record(valueMs: number): void {
    const valueUs = Math.round(valueMs * US_PER_MS);
    this.#histogram.recordValue(Math.min(HIGHEST_US, Math.max(0, valueUs)));
  }

  summarise(): LatencySummary {
    const read = (percentile: number) =>
      this.#histogram.getValueAtPercentile(percentile) / US_PER_MS;
    return {
      count: this.#histogram.totalCount,
      meanMs: this.#histogram.mean / US_PER_MS,
      p50Ms: read(50),
      p90Ms: read(90),
      p95Ms: read(95),
      p99Ms: read(99),
      maxMs: this.#histogram.maxValue / US_PER_MS,
    };
  }
}
