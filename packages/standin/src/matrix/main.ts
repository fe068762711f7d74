/**
 * The fault matrix: every fault at every numbered event of every scenario, and pairs by sample.
 *
 * `--scenario NAME`, `--seed N` and `--pairs N` narrow or widen it. `--replay EVENT:FAULT[,...]` runs
 * a single cell and prints its events.
 */
import { Random } from '@radishbay/core/ports/random.js';

import { runCell, type CellResult, type PlacedFault } from './cell.js';
import { FaultKind } from './fault.js';
import { KEYED_SWAP_SCENARIO, STREAM_SCENARIO, SWAP_SCENARIO } from './scenario/requestScenario.js';
import type { Scenario } from './scenario/scenario.js';

const SCENARIOS: readonly Scenario[] = [STREAM_SCENARIO, SWAP_SCENARIO, KEYED_SWAP_SCENARIO];
const DEFAULT_SEED = 1;
const DEFAULT_PAIRS = 100;

interface Totals {
  cells: number;
  violated: number;
}

function readOption(name: string): string | undefined {
  const index = process.argv.indexOf(`--${name}`);
  return index < 0 ? undefined : process.argv[index + 1];
}

function formatFaults(faults: readonly PlacedFault[]): string {
  return faults.map(({ event, kind }) => `${event}:${kind}`).join(',');
}

function parseFaults(text: string): readonly PlacedFault[] {
  return text.split(',').map((part) => {
    const [event, kind] = part.split(':');
    return { event: Number(event), kind: kind as FaultKind };
  });
}

function listSingles(eventCount: number): readonly PlacedFault[][] {
  return Object.values(FaultKind).flatMap((kind) =>
    Array.from({ length: eventCount }, (_, index) => [{ event: index + 1, kind }]),
  );
}

function samplePairs(eventCount: number, count: number, random: Random): readonly PlacedFault[][] {
  const kinds = Object.values(FaultKind);
  const pick = (): PlacedFault => ({
    event: 1 + random.nextInt(eventCount),
    kind: kinds[random.nextInt(kinds.length)] ?? FaultKind.LinkCut,
  });
  return Array.from({ length: count }, () => [pick(), pick()]);
}

function writeViolations(
  scenario: Scenario,
  seed: number,
  faults: readonly PlacedFault[],
  result: CellResult,
): void {
  const words = `--scenario ${scenario.name} --seed ${seed} --replay ${formatFaults(faults)}`;
  process.stdout.write(`VIOLATED npm run matrix -- ${words}\n`);
  result.violations.forEach((sentence) => process.stdout.write(`    ${sentence}\n`));
}

async function runCells(
  scenario: Scenario,
  seed: number,
  cells: readonly PlacedFault[][],
  totals: Totals,
): Promise<void> {
  const table = new Map<string, { cells: number; violated: number; ends: Map<string, number> }>();
  await cells.reduce(async (before, faults) => {
    await before;
    const result = await runCell(scenario, seed, faults);
    if (!result.isApplied) return;
    const label = faults.length > 1 ? 'pairs' : (faults[0]?.kind ?? 'none');
    const row = table.get(label) ?? { cells: 0, violated: 0, ends: new Map<string, number>() };
    table.set(label, row);
    row.cells += 1;
    Object.entries(result.ends).forEach(([end, count]) =>
      row.ends.set(end, (row.ends.get(end) ?? 0) + count),
    );
    if (result.violations.length === 0) return;
    row.violated += 1;
    writeViolations(scenario, seed, faults, result);
  }, Promise.resolve());
  table.forEach((row, label) => {
    const ends = [...row.ends].map(([end, count]) => `${end.toLowerCase()} ${count}`).join(', ');
    const counts = `${String(row.cells).padStart(4)} cells ${String(row.violated).padStart(3)} violated`;
    process.stdout.write(`${scenario.name.padEnd(22)} ${label.padEnd(22)} ${counts}  ${ends}\n`);
    Object.assign(totals, {
      cells: totals.cells + row.cells,
      violated: totals.violated + row.violated,
    });
  });
}

async function replay(scenario: Scenario, seed: number, text: string): Promise<void> {
  const result = await runCell(scenario, seed, text === 'none' ? [] : parseFaults(text));
  result.events.forEach(({ number, atMs, caller, place, kind, detail }) =>
    process.stdout.write(`${number} +${atMs} ${caller} ${kind} ${place} ${detail}\n`),
  );
  process.stdout.write(`ends ${JSON.stringify(result.ends)}\n`);
  result.violations.forEach((sentence) => process.stdout.write(`VIOLATED ${sentence}\n`));
}

async function runScenario(scenario: Scenario, seed: number, totals: Totals): Promise<void> {
  const count = (await runCell(scenario, seed, [])).events.length;
  const pairCount = Number(readOption('pairs') ?? DEFAULT_PAIRS);
  const pairs = samplePairs(count, pairCount, new Random(seed));
  await runCells(scenario, seed, [[], ...listSingles(count), ...pairs], totals);
}

const seed = Number(readOption('seed') ?? DEFAULT_SEED);
const wanted = readOption('scenario');
const scenarios = SCENARIOS.filter(({ name }) => !wanted || name === wanted);
const replayed = readOption('replay');
const totals: Totals = { cells: 0, violated: 0 };
await scenarios.reduce(async (before, scenario) => {
  await before;
  if (replayed) await replay(scenario, seed, replayed);
  else await runScenario(scenario, seed, totals);
}, Promise.resolve());
if (!replayed) process.stdout.write(`${totals.cells} cells, ${totals.violated} violated\n`);
process.exitCode = totals.violated > 0 ? 1 : 0;
