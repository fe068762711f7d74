/** The `radishbayd` command: runs one process in the role given by its settings file. */
import { hideBin } from 'yargs/helpers';
import yargs from 'yargs';

import { createInstruments, type Instruments } from './observe/instruments.js';
import type { Daemon } from './roles/daemon.js';
import { EntryDaemon } from './roles/entryDaemon.js';
import {
  exitOnUncaughtException,
  ExitCode,
  startOrExit,
  stopOnSignal,
} from './roles/processLife.js';
import { SideDaemon } from './roles/sideDaemon.js';
import { Role, type Settings } from './settings/settings.js';
import { readSettings, type SettingsFault } from './settings/settingsFile.js';

function writeFaults(file: string, faults: readonly SettingsFault[]): void {
  const lines = faults.map(({ line, field, message }) => `${file}:${line}: ${field}: ${message}\n`);
  process.stderr.write(lines.join(''));
}

function createDaemon(settings: Settings, instruments: Instruments): Daemon {
  return settings.role === Role.Entry
    ? new EntryDaemon(settings, instruments)
    : new SideDaemon(settings, instruments);
}

async function run(settings: Settings): Promise<void> {
  const instruments = createInstruments(settings);
  const daemon = createDaemon(settings, instruments);
  exitOnUncaughtException(daemon, instruments);
  stopOnSignal(daemon, instruments, settings.stop.warnAfterMs);
  await startOrExit(daemon, instruments);
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
