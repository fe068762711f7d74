/** Metrics over hot-shots to a StatsD receiver. */
import { StatsD } from 'hot-shots';

import { Metrics } from '@radishbay/core/ports/metrics.js';

export interface StatsdMetricsOptions {
  readonly host: string;
  readonly port: number;
  readonly prefix: string;
  /** Name of the process, as a tag on every metric. */
  readonly process: string;
}

/** Sends counters, gauges and timings; what cannot be sent is dropped. */
export class StatsdMetrics extends Metrics {
  readonly #client: StatsD;

  constructor(options: StatsdMetricsOptions) {
    super();
    this.#client = new StatsD({
      host: options.host,
      port: options.port,
      prefix: options.prefix,
      globalTags: { process: options.process },
      errorHandler: () => {},
    });
  }

  override count(name: string, tags: Readonly<Record<string, string>> = {}): void {
    this.#client.increment(name, 1, { ...tags });
  }

  override gauge(name: string, value: number, tags: Readonly<Record<string, string>> = {}): void {
    this.#client.gauge(name, value, { ...tags });
  }

  override timing(
    name: string,
    valueMs: number,
    tags: Readonly<Record<string, string>> = {},
  ): void {
    this.#client.timing(name, valueMs, { ...tags });
  }

  /** Sends what is buffered and closes the socket. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#client.close(() => resolve());
    });
  }
}
