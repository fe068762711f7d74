/** Process lifecycle: start, graceful shutdown on a signal, and exit on an uncaught exception. */
import { toError } from '@radishbay/core/fault.js';
import { LogLevel } from '@radishbay/core/ports/log.js';
import { wait } from '@radishbay/core/wait.js';

import type { Instruments } from '../observe/instruments.js';

import type { Daemon } from './daemon.js';

const PART = 'daemon';

/** Time for metrics to be flushed after an uncaught exception. */
const FLUSH_TIMEOUT_MS = 100;

/** Exit codes of the process. */
export enum ExitCode {
  Done = 0,
  BadSettings = 2,
  CannotStart = 3,
  /** An exception was not caught. */
  UncaughtException = 4,
}

/**
 * Shuts down gracefully on SIGTERM or SIGINT; further signals are ignored.
 *
 * @param warnAfterMs time after which an unfinished shutdown is logged as an error
 */
export function stopOnSignal(daemon: Daemon, instruments: Instruments, warnAfterMs: number): void {
  const { log } = instruments;
  let isStopping = false;
  const stop = async (signal: string) => {
    if (isStopping) return;
    isStopping = true;
    log.write(LogLevel.Info, PART, 'Graceful shutdown started.', { signal });
    const warning = setTimeout(() => {
      log.write(LogLevel.Error, PART, 'Graceful shutdown is still waiting for requests.');
    }, warnAfterMs);
    await daemon.stop();
    clearTimeout(warning);
    log.write(LogLevel.Info, PART, 'Graceful shutdown completed.');
    await instruments.close();
    process.exitCode = ExitCode.Done;
    setImmediate(() => process.exit());
  };
  process.on('SIGTERM', () => stop('SIGTERM'));
  process.on('SIGINT', () => stop('SIGINT'));
}

/**
 * Logs an uncaught exception, cuts all requests and ends the process: the exception means that an
 * invariant was broken. No other error ends a running process.
 */
export function exitOnUncaughtException(daemon: Daemon, instruments: Instruments): void {
  const { log, metrics } = instruments;
  const exit = () => process.exit(ExitCode.UncaughtException);
  process.on('uncaughtException', (error) => {
    log.write(LogLevel.Error, PART, 'Uncaught exception, the process exits.', {
      error: error.stack ?? error.message,
    });
    metrics.count('fault.uncaught');
    try {
      daemon.abort();
    } catch (thrown) {
      const { message } = toError(thrown);
      log.write(LogLevel.Error, PART, 'Requests could not be cut.', { error: message });
    }
    Promise.race([instruments.close(), wait(FLUSH_TIMEOUT_MS)]).finally(() => setImmediate(exit));
  });
}

/**
 * Starts a daemon; logs the runtime, on which the reading of HTTP depends. Logs the reason and ends
 * the process if the daemon fails to start.
 */
export async function startOrExit(daemon: Daemon, { log }: Instruments): Promise<void> {
  log.write(LogLevel.Info, PART, 'Process is starting.', {
    node: process.version,
    httpParser: process.versions.llhttp,
    flags: process.execArgv.join(' '),
    nodeOptions: process.env.NODE_OPTIONS,
  });
  const started = await daemon.start();
  if (started.ok) return;
  log.write(LogLevel.Error, PART, 'The process failed to start.', { why: started.val });
  setImmediate(() => process.exit(ExitCode.CannotStart));
}
