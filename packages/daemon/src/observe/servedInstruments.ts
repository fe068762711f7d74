/** Log to standard output, and metrics that the process serves over HTTP. */
import { CountingMetrics } from '@radishbay/core/ports/countingMetrics.js';
import type { LogLevel } from '@radishbay/core/ports/log.js';

import { LogFormat } from '../settings/settings.js';

import { BoundedLog } from './boundedLog.js';
import type { Instruments } from './instruments.js';
import { OutputStream } from './outputStream.js';
import { PromMetrics } from './promMetrics.js';
import { WinstonLog } from './winstonLog.js';

/**
 * Creates a rate-limited JSON log to standard output, and Prometheus metrics that the process
 * serves over HTTP.
 *
 * @param name name of the process, on every log line
 */
export function createServedInstruments(
  name: string,
  level: LogLevel,
): Instruments & { readonly readMetrics: () => Promise<string> } {
  const stream = new OutputStream();
  const log = new BoundedLog(new WinstonLog({ name, level, format: LogFormat.Json, stream }));
  const served = new PromMetrics();
  const metrics = new CountingMetrics(served);
  const readMetrics = () => {
    served.gauge('log.lines.dropped', stream.droppedLines);
    return served.read();
  };
  return { log, metrics, readMetrics, close: () => Promise.resolve() };
}
