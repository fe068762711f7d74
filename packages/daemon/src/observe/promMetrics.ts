/** Metrics in the Prometheus text format, for processes that serve them over HTTP. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

import { Metrics } from '@radishbay/core/ports/metrics.js';

type Tags = Readonly<Record<string, string>>;

const PREFIX = 'radishbay_';

/** Upper bounds of the histogram buckets; callers' latency targets lie in the middle. */
const BUCKETS_MS = [2, 5, 10, 20, 50, 100, 200, 400, 800, 1_600, 3_200, 8_000];

function formatName(name: string, suffix: string): string {
  return `${PREFIX}${name.replace(/[^a-z0-9]+/giu, '_')}${suffix}`;
}

/** Stores counters, gauges and histograms; every use of a name must have the same tag keys. */
export class PromMetrics extends Metrics {
  readonly #registry = new Registry();

  readonly #counters = new Map<string, Counter>();

  readonly #gauges = new Map<string, Gauge>();

  readonly #histograms = new Map<string, Histogram>();

  override count(name: string, tags: Tags = {}): void {
    const existing = this.#counters.get(name);
    const counter = existing ?? new Counter(this.#describe(name, '_total', tags));
    if (!existing) this.#counters.set(name, counter);
    counter.inc({ ...tags });
  }

  override gauge(name: string, value: number, tags: Tags = {}): void {
    const existing = this.#gauges.get(name);
    const gauge = existing ?? new Gauge(this.#describe(name, '', tags));
    if (!existing) this.#gauges.set(name, gauge);
    gauge.set({ ...tags }, value);
  }

  override timing(name: string, valueMs: number, tags: Tags = {}): void {
    const existing = this.#histograms.get(name);
    const histogram =
      existing ?? new Histogram({ ...this.#describe(name, '_ms', tags), buckets: BUCKETS_MS });
    if (!existing) this.#histograms.set(name, histogram);
    histogram.observe({ ...tags }, valueMs);
  }

  /** Formats all metrics as text. */
  read(): Promise<string> {
    return this.#registry.metrics();
  }

  #describe(name: string, suffix: string, tags: Tags) {
    return {
      name: formatName(name, suffix),
      help: name,
      labelNames: Object.keys(tags),
      registers: [this.#registry],
    };
  }
}
