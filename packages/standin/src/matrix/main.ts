/**
 * The fault matrix: every fault at every numbered event of every scenario, and pairs by sample.
 *
 * `--scenario NAME`, `--seed N`, `--pairs N` and `--singles N` narrow or widen it.
 * `--replay EVENT:FAULT[,...]` runs a single cell and prints its events.
 * Without a scenario each one runs in a process of its own, a few at a time.
 */
import { fileURLToPath } from 'node:url';

import { ChildProgram } from '../fleet/childProgram.js';

import { runCell, type PlacedFault } from './cell.js';
import type { FaultKind } from './fault.js';
import { MatrixRun, type MatrixResult, type MatrixRow } from './matrixRun.js';
import type { Scenario } from './scenario/scenario.js';
import { SCENARIOS } from './scenarios.js';

const DEFAULT_SEED = 1;
const DEFAULT_PAIRS = 100;
const PARALLEL_SCENARIOS = 4;
const SUMMARY = /^(\d+) cells, (\d+) violated$/u;

function readOption(name: string): string | undefined {
  const index = process.argv.indexOf(`--${name}`);
  return index < 0 ? undefined : process.argv[index + 1];
}

function parseFaults(text: string): readonly PlacedFault[] {
  if (text === 'none') return [];
  return text.split(',').map((part) => {
    const [event, kind] = part.split(':');
    return { event: Number(event), kind: kind as FaultKind };
  });
}

function formatRow(row: MatrixRow): string {
  const ends = [...row.ends].map(([end, count]) => `${end.toLowerCase()} ${count}`).join(', ');
  const cells = `${String(row.cells).padStart(4)} cells`;
  const violated = `${String(row.violated).padStart(3)} violated`;
  return `${row.scenario.padEnd(20)} ${row.fault.padEnd(22)} ${cells} ${violated}  ${ends}\n`;
}

function writeSummary(cells: number, violated: number): void {
  process.stdout.write(`${cells} cells, ${violated} violated\n`);
  process.exitCode = violated > 0 ? 1 : 0;
}

function writeResult({ rows, violations }: MatrixResult): void {
  violations.forEach(({ replay, sentences }) => {
    process.stdout.write(`VIOLATED npm run matrix -- ${replay}\n`);
    sentences.forEach((sentence) => process.stdout.write(`    ${sentence}\n`));
  });
  rows.forEach((row) => process.stdout.write(formatRow(row)));
  const cells = rows.reduce((sum, row) => sum + row.cells, 0);
  writeSummary(cells, violations.length);
}

async function replayCell(scenario: Scenario, seed: number, text: string): Promise<void> {
  const result = await runCell(scenario, seed, parseFaults(text));
  result.events.forEach(({ number, atMs, caller, place, kind, detail }) =>
    process.stdout.write(`${number} at ${atMs} ${caller} ${kind} ${place} ${detail}\n`),
  );
  process.stdout.write(`ends ${JSON.stringify(result.ends)}\n`);
  result.violations.forEach((sentence) => process.stdout.write(`VIOLATED ${sentence}\n`));
}

async function runScenario(scenario: Scenario, seed: number): Promise<void> {
  const replay = readOption('replay');
  if (replay) {
    await replayCell(scenario, seed, replay);
    return;
  }
  const pairCount = Number(readOption('pairs') ?? DEFAULT_PAIRS);
  const singles = readOption('singles');
  const limit = singles === undefined ? {} : { singleLimit: Number(singles) };
  writeResult(await new MatrixRun(scenario, { seed, pairCount, ...limit }).run());
}

/** Runs one scenario in a process of its own and passes its lines on. */
async function runInProcess(name: string): Promise<readonly [cells: number, violated: number]> {
  const script = fileURLToPath(import.meta.url);
  const words = [script, '--scenario', name, ...process.argv.slice(2)];
  const program = new ChildProgram(name, words);
  await program.waitForEnd();
  const summary = SUMMARY.exec(program.lines.at(-1) ?? '');
  if (!summary) throw new Error(`${name} ended early: ${program.lines.slice(-3).join(' | ')}`);
  program.lines.slice(0, -1).forEach((line) => process.stdout.write(`${line}\n`));
  return [Number(summary[1]), Number(summary[2])];
}

async function runAll(): Promise<void> {
  const names = SCENARIOS.map(({ name }) => name);
  const totals = { cells: 0, violated: 0 };
  const work = async (): Promise<void> => {
    const name = names.shift();
    if (!name) return;
    const [cells, violated] = await runInProcess(name);
    totals.cells += cells;
    totals.violated += violated;
    await work();
  };
  await Promise.all(Array.from({ length: PARALLEL_SCENARIOS }, work));
  writeSummary(totals.cells, totals.violated);
}

const wanted = readOption('scenario');
const scenario = SCENARIOS.find(({ name }) => name === wanted);
const seed = Number(readOption('seed') ?? DEFAULT_SEED);
if (scenario) await runScenario(scenario, seed);
else if (wanted) throw new Error(`scenarios: ${SCENARIOS.map(({ name }) => name).join(', ')}`);
else await runAll();
