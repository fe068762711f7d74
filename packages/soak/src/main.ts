/** `npm run soak`: plays the faults of seeds against real entries and checks the promises. */
import { mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';

import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { SoakRun, type SoakVerdict } from './soakRun.js';

const MS_PER_MINUTE = 60_000;

const BREAKS_PRINTED = 5;

function describe(seed: number, folder: string, verdict: SoakVerdict): string {
  const { breaks, outcomes, faults, maps, heldPasses, stalls } = verdict;
  const counts = [...outcomes].sort(([a], [b]) => a - b).map(([status, n]) => `${status}: ${n}`);
  const head = [
    `seed ${seed}: ${breaks.length} broken`,
    `${faults} faults, ${stalls} stalls of the soak`,
    `${maps} maps, ${heldPasses} passes held`,
    `answers ${counts.join(', ')}`,
  ].join('; ');
  const listed = breaks
    .slice(0, BREAKS_PRINTED)
    .map(({ promise, detail, atMs }) => `  at ${atMs} ms: ${promise}: ${detail}`);
  return [head, ...listed, ...(breaks.length > 0 ? [`  logs and plan: ${folder}`] : [])].join('\n');
}

const options = await yargs(hideBin(process.argv))
  .scriptName('soak')
  .option('seed', { type: 'number', default: 1, describe: 'first seed' })
  .option('seeds', { type: 'number', default: 1, describe: 'seeds, one after the other' })
  .option('minutes', { type: 'number', default: 0.5, describe: 'time in which faults begin' })
  .option('entries', { type: 'number', default: 4, describe: 'entries, each a process' })
  .option('logs', { type: 'string', describe: 'folder of logs and plans; a new one if left out' })
  .strict()
  .parseAsync();

const root = options.logs ?? (await mkdtemp(path.join(tmpdir(), 'radishbay-soak-')));

let current: SoakRun | undefined;

/** Processes that were started do not outlive the soak. */
async function endEarly(): Promise<void> {
  await current?.abort();
  process.exit(1);
}

process.once('SIGINT', endEarly);
process.once('SIGTERM', endEarly);

async function runSeed(seed: number): Promise<boolean> {
  const folder = path.join(root, `seed-${seed}`);
  const { minutes, entries: entryCount } = options;
  const run = new SoakRun({ seed, entryCount, faultsMs: minutes * MS_PER_MINUTE, folder });
  current = run;
  const verdict = await run.run();
  process.stdout.write(`${describe(seed, folder, verdict)}\n`);
  return verdict.breaks.length === 0;
}

async function runSeeds(seed: number, left: number): Promise<boolean> {
  if (left <= 0) return true;
  const isKept = await runSeed(seed);
  return (await runSeeds(seed + 1, left - 1)) && isKept;
}

const areKept = await runSeeds(options.seed, options.seeds);
process.exitCode = areKept ? 0 : 1;
