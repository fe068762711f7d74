/**
 * Faults: exceptions that this process did not expect, while it handled one message or response.
 *
 * Whatever is being handled ends with them, and nothing else. An exception anywhere else means that
 * an invariant of the whole process is broken, and ends the process.
 */
import { Err, Ok, type Result } from './outcome.js';
import { LogLevel, type Log, type LogFields } from './ports/log.js';
import type { Metrics } from './ports/metrics.js';

/** Where faults are reported. */
export interface FaultSinks {
  readonly log: Log;
  readonly metrics: Metrics;
}

export function toError(thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown));
}

/**
 * Logs and counts a fault.
 *
 * @param part name of the part of the system, as in its log lines
 */
export function reportFault(
  { log, metrics }: FaultSinks,
  part: string,
  error: Error,
  fields: LogFields = {},
): void {
  metrics.count('fault.contained', { part });
  log.write(LogLevel.Error, part, 'Internal error, the process goes on.', {
    ...fields,
    error: error.stack ?? error.message,
  });
}

/**
 * Waits for a task that reads responses.
 *
 * @returns its result, or the exception with which it ended, which has been reported
 */
export async function containFault<T>(
  sinks: FaultSinks,
  part: string,
  task: () => Promise<T>,
): Promise<Result<T, Error>> {
  try {
    return Ok(await task());
  } catch (thrown) {
    const error = toError(thrown);
    reportFault(sinks, part, error);
    return Err(error);
  }
}
