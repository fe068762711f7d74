/** How a process ends: a planned stop by a signal, or a broken invariant. */
import { LogLevel } from '@radishbay/core/ports/log.js';

import type { Instruments } from '../observe/instruments.js';

import type { Daemon } from './daemon.js';

const PART = 'daemon';

export enum ExitCode {
  Done = 0,
  BadSettings = 2,
  CannotStart = 3,
  BrokenInvariant = 4,
}

/** A planned stop on SIGTERM or SIGINT; repeated signals change nothing. */
export function stopOnSignal(daemon: Daemon, instruments: Instruments, warnAfterMs: number): void {
  const { log } = instruments;
  let isStopping = false;
  const stop = async (signal: string) => {
    if (isStopping) return;
    isStopping = true;
    log.write(LogLevel.Info, PART, 'Planned stop begins.', { signal });
    const warning = setTimeout(() => {
      log.write(LogLevel.Error, PART, 'Planned stop still waits for requests.');
    }, warnAfterMs);
    await daemon.stop();
    clearTimeout(warning);
    log.write(LogLevel.Info, PART, 'Planned stop is complete.');
    await instruments.close();
    process.exitCode = ExitCode.Done;
    setImmediate(() => process.exit());
  };
  process.on('SIGTERM', () => stop('SIGTERM'));
  process.on('SIGINT', () => stop('SIGINT'));
}

/** Only a broken invariant ends the process; it says so first. */
export function endOnBrokenInvariant(instruments: Instruments): void {
  process.on('uncaughtException', (error) => {
    instruments.log.write(LogLevel.Error, PART, 'An invariant is broken; the process ends.', {
      error: error.stack ?? error.message,
    });
    setImmediate(() => process.exit(ExitCode.BrokenInvariant));
  });
}

/** Starts a daemon; ends the process where it cannot start. */
export async function startOrExit(daemon: Daemon, { log }: Instruments): Promise<void> {
  const started = await daemon.start();
  if (started.ok) return;
  log.write(LogLevel.Error, PART, 'The process cannot start.', { why: started.val });
  setImmediate(() => process.exit(ExitCode.CannotStart));
}
