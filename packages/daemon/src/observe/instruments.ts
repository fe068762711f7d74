/** Creates the log and the metrics of one process from its settings. */
import { CountingMetrics } from '@radishbay/core/ports/countingMetrics.js';
import type { Log } from '@radishbay/core/ports/log.js';

import type { Settings } from '../settings/settings.js';

import { StatsdMetrics } from './statsdMetrics.js';
import { WinstonLog } from './winstonLog.js';

/** Log and metrics of one process. */
export interface Instruments {
  readonly log: Log;
  readonly metrics: CountingMetrics;
  /** Flushes buffered metrics. */
  readonly close: () => Promise<void>;
  /** Formats all metrics in the Prometheus text format; undefined if they are not served. */
  readonly readMetrics?: () => Promise<string>;
}

/** Creates a log to standard error, and metrics that go to StatsD if a port is configured. */
export function createInstruments(settings: Settings): Instruments {
  const { level, format } = settings.log;
  const log = new WinstonLog({ name: settings.name, level, format });
  const { host, port, prefix } = settings.metrics;
  if (port === undefined) {
    return { log, metrics: new CountingMetrics(), close: () => Promise.resolve() };
  }
  const statsd = new StatsdMetrics({ host, port, prefix, process: settings.name });
  return { log, metrics: new CountingMetrics(statsd), close: () => statsd.close() };
}
