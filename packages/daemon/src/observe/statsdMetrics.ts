/** Sends metrics to a StatsD server with the hot-shots client. */
import { StatsD } from 'hot-shots';

import { Metrics } from '@radishbay/core/ports/metrics.js';

export interface StatsdMetricsOptions {
  readonly host: string;
  readonly port: number;
  readonly prefix: string;
  /** Name of the process, added as a tag to every metric. */
  readonly process: string;
}

/** Sends counters, gauges and timings; metrics that cannot be sent are dropped. */
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

  /** Flushes buffered metrics and closes the socket. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#client.close(() => resolve());
    });
  }
}
