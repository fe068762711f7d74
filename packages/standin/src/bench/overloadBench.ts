/**
 * Measures goodput at several multiples of capacity, and the time to recover after the load falls.
 *
 * Usage: node packages/standin/dist/src/bench/overloadBench.js
 */
import {
  CAPACITY_PER_SECOND,
  OverloadRun,
  type OverloadFigures,
  type OverloadScenario,
} from './overload/overloadRun.js';
import { writeLine, writeRow } from './table.js';

/** Characters of the columns. */
const WIDTHS = [12, 14];

const SEEDS = [1, 2, 3];

const LOADS = [1, 2, 4];

const ENTRY_COUNTS = [3];

const CLIENT_RETRIES = [0, 3];

function meanOf(runs: readonly OverloadFigures[], field: keyof OverloadFigures): number {
  return runs.reduce((sum, run) => sum + run[field], 0) / runs.length;
}

async function measure(scenario: OverloadScenario): Promise<void> {
  const runs = await SEEDS.reduce<Promise<OverloadFigures[]>>(
    async (earlier, seed) => [...(await earlier), await OverloadRun.run(scenario, seed)],
    Promise.resolve([]),
  );
  const recoveryMs = Math.max(...runs.map((run) => run.recoveryMs));
  writeRow(
    [
      scenario.hasAdmission ? 'queue' : 'none',
      `${scenario.load}x`,
      String(scenario.entries),
      String(scenario.clientRetries),
      meanOf(runs, 'offeredPerSecond').toFixed(0),
      meanOf(runs, 'goodPerSecond').toFixed(1),
      `${(100 * meanOf(runs, 'answeredShare')).toFixed(0)}%`,
      meanOf(runs, 'gateRefusals').toFixed(0),
      (recoveryMs / 1_000).toFixed(1),
    ],
    WIDTHS,
  );
}

const titles = ['load', 'entries', 'client retries', 'offered /s', 'good /s', 'answered'];
writeLine(`capacity ${CAPACITY_PER_SECOND} a second, deadline 10 s, seeds ${SEEDS.join(', ')}`);
writeRow(['admission', ...titles, 'gate refusals', 'recovery s'], WIDTHS);
const scenarios = ENTRY_COUNTS.flatMap((entries) =>
  LOADS.flatMap((load) =>
    CLIENT_RETRIES.flatMap((clientRetries) =>
      [true, false].map((hasAdmission) => ({ hasAdmission, load, entries, clientRetries })),
    ),
  ),
);
await scenarios.reduce(
  (earlier, scenario) => earlier.then(() => measure(scenario)),
  Promise.resolve(),
);
