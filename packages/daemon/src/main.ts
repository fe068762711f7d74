/** The `radishbayd` command: one process in the role that its settings name. */
import { hideBin } from 'yargs/helpers';
import yargs from 'yargs';

import { LogLevel } from '@radishbay/core/ports/log.js';

import { createInstruments, type Instruments } from './observe/instruments.js';
import type { Daemon } from './roles/daemon.js';
import { EntryDaemon } from './roles/entryDaemon.js';
import { SideDaemon } from './roles/sideDaemon.js';
import { Role, type Settings } from './settings/settings.js';
import { readSettings, type SettingsFault } from './settings/settingsFile.js';

const PART = 'daemon';

enum ExitCode {
  Done = 0,
  BadSettings = 2,
  CannotStart = 3,
  BrokenInvariant = 4,
}

function writeFaults(file: string, faults: readonly SettingsFault[]): void {
  const lines = faults.map(({ line, field, allowed }) => `${file}:${line}: ${field}: ${allowed}\n`);
  process.stderr.write(lines.join(''));
}

function createDaemon(settings: Settings, instruments: Instruments): Daemon {
  return settings.role === Role.Entry
    ? new EntryDaemon(settings, instruments)
    : new SideDaemon(settings, instruments);
}

/** A planned stop on SIGTERM or SIGINT; repeated signals change nothing. */
function stopOnSignal(settings: Settings, daemon: Daemon, instruments: Instruments): void {
  const { log } = instruments;
  let isStopping = false;
  const stop = async (signal: string) => {
    if (isStopping) return;
    isStopping = true;
    log.write(LogLevel.Info, PART, 'Planned stop begins.', { signal });
    const warning = setTimeout(() => {
      log.write(LogLevel.Error, PART, 'Planned stop still waits for requests.');
    }, settings.stop.warnAfterMs);
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
function endOnBrokenInvariant(instruments: Instruments): void {
  process.on('uncaughtException', (error) => {
    instruments.log.write(LogLevel.Error, PART, 'An invariant is broken; the process ends.', {
      error: error.stack ?? error.message,
    });
    process.exit(ExitCode.BrokenInvariant);
  });
}

async function run(settings: Settings): Promise<void> {
  const instruments = createInstruments(settings);
  endOnBrokenInvariant(instruments);
  const daemon = createDaemon(settings, instruments);
  stopOnSignal(settings, daemon, instruments);
  const started = await daemon.start();
  if (started.ok) return;
  instruments.log.write(LogLevel.Error, PART, 'The process cannot start.', { why: started.val });
  process.exit(ExitCode.CannotStart);
}

const options = await yargs(hideBin(process.argv))
  .scriptName('radishbayd')
  .usage('$0 --settings FILE [--check]')
  .option('settings', { type: 'string', demandOption: true, describe: 'YAML file with settings' })
  .option('check', { type: 'boolean', default: false, describe: 'check the settings and exit' })
  .strict()
  .parse();

const settings = await readSettings(options.settings);
if (!settings.ok) {
  writeFaults(options.settings, settings.val);
  process.exit(ExitCode.BadSettings);
} else if (options.check) {
  process.stdout.write(`${options.settings}: settings are valid\n`);
} else {
  await run(settings.val);
}
