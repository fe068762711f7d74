/**
 * Measures routing against simpler ways, at several numbers of entries, and the time of a choice.
 *
 * Usage: node packages/standin/dist/src/bench/routingBench.js [SCENARIO]
 */
import { CountingMetrics } from '@radishbay/core/ports/countingMetrics.js';
import { Random } from '@radishbay/core/ports/random.js';
import { ForecastRouting } from '@radishbay/core/routing/forecastRouting.js';
import { LeastLoadedRouting } from '@radishbay/core/routing/leastLoadedRouting.js';

import { measureChoiceUs } from './routing/choiceTime.js';
import { RoutingRun, type PolicyFactory, type RoutingScenario } from './routing/routingRun.js';
import { StaleMethod, StaleRouting } from './routing/staleRouting.js';
import { writeLine, writeRow } from './table.js';

/** Characters of the columns. */
const WIDTHS = [24, 13];

const SEEDS = [1, 2, 3];

const ENTRY_COUNTS = [1, 2, 4, 8];

const CANDIDATE_COUNTS = [10, 50, 200];

const COSTS = { maxRunning: 64, stepMs: 20, stepPerSequenceMs: 0.8, prefillPerTokenMs: 0.1 };

const EVEN: RoutingScenario = {
  name: 'even',
  upstreams: 12,
  limit: 32,
  firstSlowdown: 1,
  costs: COSTS,
  cacheBlocks: 150,
  workload: { requestsPerSecond: 45, tokensMin: 20, tokensMax: 140, hasPrompts: true },
};

const SCENARIOS: readonly RoutingScenario[] = [
  EVEN,
  { ...EVEN, name: 'straggler', firstSlowdown: 2 },
  {
    ...EVEN,
    name: 'short',
    upstreams: 24,
    limit: 16,
    workload: { requestsPerSecond: 200, tokensMin: 2, tokensMax: 12, hasPrompts: true },
  },
  {
    ...EVEN,
    name: 'plain',
    upstreams: 6,
    limit: 8,
    workload: { requestsPerSecond: 170, tokensMin: 2, tokensMax: 12, hasPrompts: false },
  },
];

const POLICIES: Readonly<Record<string, PolicyFactory>> = {
  random: (random) => new StaleRouting(StaleMethod.Random, random),
  'least loaded, reports': (random) => new StaleRouting(StaleMethod.LeastLoaded, random),
  'power of two, reports': (random) => new StaleRouting(StaleMethod.PowerOfTwo, random),
  'least loaded, corrected': (random) => new LeastLoadedRouting(random),
  forecast: (random, metrics) => new ForecastRouting({ random, metrics }),
};

function readQuantile(values: readonly number[], share: number): number {
  const sorted = Float64Array.from(values).sort();
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

function measure(scenario: RoutingScenario, policy: string, entries: number): string[] {
  const factory = POLICIES[policy] as PolicyFactory;
  const runs = SEEDS.map((seed) => RoutingRun.run(scenario, factory, entries, seed));
  const sum = (field: 'blocksAsked' | 'blocksHeld' | 'gateRefusals' | 'requests' | 'refused') =>
    runs.reduce((total, run) => total + run[field], 0);
  const firstTokensMs = runs.flatMap((run) => run.firstTokensMs);
  const gapsMs = runs.flatMap((run) => run.gapsMs);
  const answersMs = runs.flatMap((run) => run.answersMs);
  return [
    policy,
    String(entries),
    readQuantile(firstTokensMs, 0.5).toFixed(0),
    readQuantile(firstTokensMs, 0.99).toFixed(0),
    readQuantile(gapsMs, 0.95).toFixed(0),
    readQuantile(answersMs, 0.5).toFixed(0),
    `${((100 * sum('blocksHeld')) / Math.max(1, sum('blocksAsked'))).toFixed(1)}%`,
    String(sum('gateRefusals')),
    `${sum('refused')} of ${sum('requests')}`,
  ];
}

function writeScenario(scenario: RoutingScenario): void {
  writeLine(`\n${scenario.name}: ${JSON.stringify(scenario)}, seeds ${SEEDS.join(', ')}`);
  const times = ['first p50 ms', 'first p99 ms', 'gap p95 ms', 'answer p50 ms'];
  writeRow(['way', 'entries', ...times, 'cache hits', 'gate refusals', 'refused'], WIDTHS);
  ENTRY_COUNTS.forEach((entries) => {
    Object.keys(POLICIES).forEach((policy) => writeRow(measure(scenario, policy, entries), WIDTHS));
  });
}

function writeChoiceTimes(): void {
  writeLine('\nprocessor time of one choice, 24 prompt blocks, 8 entries, 200 choices a second');
  CANDIDATE_COUNTS.forEach((count) => {
    const routing = new ForecastRouting({
      random: new Random(1),
      metrics: new CountingMetrics(),
    });
    writeLine(`${count} candidates: ${measureChoiceUs(routing, count).toFixed(1)} us`);
  });
}

const [, , wanted] = process.argv;
writeChoiceTimes();
SCENARIOS.filter(({ name }) => wanted === undefined || name === wanted).forEach(writeScenario);
