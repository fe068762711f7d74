/**
 * Measures rebalancing on a stand-in group of 32 ranks, 60 layers and 64 experts a layer.
 *
 * Prints, for each policy and scenario, means over the seeds. Usage:
 * node packages/standin/dist/src/bench/groupsBench.js
 */
import { GroupsScenario, Policy, Scenario, type RunOptions } from './groupsScenario.js';

const SEEDS = [1, 2, 3];

const GIGABYTE = 1e9;

const SHAPE = { ranks: 32, layers: 60, experts: 64, slotsPerRank: 3 };

const OPTIONS: RunOptions = {
  load: {
    shape: SHAPE,
    seed: 0,
    zipfExponent: 0.9,
    driftPerWindow: 0.03,
    requestsPerRank: 256,
    expertsPerToken: 8,
    batchMs: 0.4 / 256,
    tokenMs: 0.5 / 2048,
  },
  plan: {
    tokenMs: 0.5 / 2048,
    horizonSteps: 3000,
    loadCostMs: 12,
    stallMs: 5,
    minSavedShare: 0.002,
    maxLoads: 240,
    maxLayerMoves: 8,
  },
  windows: 40,
  stepsPerWindow: 150,
  drawnSteps: 3,
  expertBytes: 44e6,
  storeBytesPerSecond: 20e9,
  stallMs: 5,
  spareExperts: 24,
  halfLifeWindows: 2,
};

type Figures = ReturnType<GroupsScenario['run']>;

/** Writes one line of the report. */
function writeLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

function average(runs: readonly Figures[], key: keyof Figures): number {
  return runs.reduce((all, run) => all + run[key], 0) / runs.length;
}

function printRow(policy: Policy, runs: readonly Figures[]): void {
  const cells = [
    policy.padEnd(12),
    average(runs, 'skew').toFixed(3),
    average(runs, 'skewBound').toFixed(3),
    average(runs, 'p95').toFixed(3),
    Math.round(average(runs, 'tokensPerSecond')).toString().padStart(7),
    (average(runs, 'movedBytes') / GIGABYTE).toFixed(0).padStart(6),
    average(runs, 'switches').toFixed(1).padStart(5),
    average(runs, 'stallMs').toFixed(0).padStart(5),
  ];
  writeLine(cells.join('  '));
}

const planTimesMs: number[] = [];
const sliceTimesMs: number[] = [];

function runPolicy(policy: Policy, scenario: Scenario): readonly Figures[] {
  return SEEDS.map((seed) => {
    const load = { ...OPTIONS.load, seed };
    const run = new GroupsScenario(policy, { ...OPTIONS, load });
    const figures = run.run(scenario);
    planTimesMs.push(...run.planTimesMs);
    sliceTimesMs.push(...run.sliceTimesMs);
    return figures;
  });
}

function runScenario(scenario: Scenario): void {
  writeLine(`\n${scenario} (seeds ${SEEDS.join(', ')})`);
  writeLine('policy        skew   bound  p95    tokens/s  GB  switches  stall ms');
  const results = Object.values(Policy).map((policy) => {
    const runs = runPolicy(policy, scenario);
    printRow(policy, runs);
    return { policy, runs };
  });
  const full = results.find((result) => result.policy === Policy.FullReplan)?.runs ?? [];
  const moves = results.find((result) => result.policy === Policy.Incremental)?.runs ?? [];
  const bytes = average(full, 'movedBytes') / average(moves, 'movedBytes');
  const skew = (average(moves, 'skew') / average(full, 'skew') - 1) * 100;
  writeLine(
    `full-replan / this: ${bytes.toFixed(1)} times the bytes; this: ${skew.toFixed(1)}% skew`,
  );
}

function printTimes(name: string, timesMs: readonly number[]): void {
  const sorted = [...timesMs].sort((first, second) => first - second);
  const at = (share: number): string =>
    (sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0).toFixed(2);
  writeLine(`${name}: ${sorted.length}, median ${at(0.5)}, p99 ${at(0.99)}, longest ${at(1)} ms`);
}

const started = performance.now();
Object.values(Scenario).forEach((scenario) => runScenario(scenario));
writeLine('');
printTimes('rounds of planning', planTimesMs);
printTimes('slices of planning', sliceTimesMs);
writeLine(`took ${((performance.now() - started) / 1000).toFixed(1)} s`);
