/** Log and metrics of one process, made from its settings. */
import { CountingMetrics } from '@radishbay/core/ports/countingMetrics.js';
import type { Log } from '@radishbay/core/ports/log.js';

import type { Settings } from '../settings/settings.js';

import { StatsdMetrics } from './statsdMetrics.js';
import { WinstonLog } from './winstonLog.js';

export interface Instruments {
  readonly log: Log;
  readonly metrics: CountingMetrics;
  /** Sends what is buffered. */
  readonly close: () => Promise<void>;
  /** All metrics as text, where the process serves them itself. */
  readonly readMetrics?: () => Promise<string>;
}

/** Creates the instruments of one process. */
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
