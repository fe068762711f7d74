/** `npm run soak`: injects the faults of seeds into real entries and checks the invariants. */
import { mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';

import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { SoakRun, type SoakResult } from './soakRun.js';

const MS_PER_MINUTE = 60_000;

const VIOLATIONS_PRINTED = 5;

function formatVerdict(seed: number, folder: string, result: SoakResult): string {
  const { violations, responseCounts, faultCount, mapCount, heldPassCount, stallCount } = result;
  const counts = [...responseCounts]
    .sort(([a], [b]) => a - b)
    .map(([status, n]) => `${status}: ${n}`);
  const head = [
    `seed ${seed}: ${violations.length} broken`,
    `${faultCount} faults, ${stallCount} stalls of the soak`,
    `${mapCount} maps, ${heldPassCount} passes held`,
    `answers ${counts.join(', ')}`,
  ].join('; ');
  const listed = violations
    .slice(0, VIOLATIONS_PRINTED)
    .map(({ invariant, detail, atMs }) => `  at ${atMs} ms: ${invariant}: ${detail}`);
  return [head, ...listed, ...(violations.length > 0 ? [`  logs and plan: ${folder}`] : [])].join(
    '\n',
  );
}

const options = await yargs(hideBin(process.argv))
  .scriptName('soak')
  .option('seed', { type: 'number', default: 1, describe: 'first seed' })
  .option('seeds', {
    type: 'number',
    default: 1,
    describe: 'number of seeds, run one after the other',
  })
  .option('minutes', { type: 'number', default: 0.5, describe: 'minutes in which faults start' })
  .option('entries', { type: 'number', default: 4, describe: 'number of entry processes' })
  .option('logs', { type: 'string', describe: 'folder for logs and plans; by default a new one' })
  .strict()
  .parseAsync();

const root = options.logs ?? (await mkdtemp(path.join(tmpdir(), 'radishbay-soak-')));

let currentRun: SoakRun | undefined;

/** Stops all started processes before the soak exits. */
async function abortRun(): Promise<void> {
  await currentRun?.abort();
  process.exit(1);
}

process.once('SIGINT', abortRun);
process.once('SIGTERM', abortRun);

async function runSeed(seed: number): Promise<boolean> {
  const folder = path.join(root, `seed-${seed}`);
  const { minutes, entries: entryCount } = options;
  const run = new SoakRun({ seed, entryCount, faultsMs: minutes * MS_PER_MINUTE, folder });
  currentRun = run;
  const result = await run.run();
  process.stdout.write(`${formatVerdict(seed, folder, result)}\n`);
  return result.violations.length === 0;
}

async function runSeeds(seed: number, left: number): Promise<boolean> {
  if (left <= 0) return true;
  const hasPassed = await runSeed(seed);
  return (await runSeeds(seed + 1, left - 1)) && hasPassed;
}

const haveAllPassed = await runSeeds(options.seed, options.seeds);
process.exitCode = haveAllPassed ? 0 : 1;
