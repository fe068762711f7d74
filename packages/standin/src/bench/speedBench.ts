/**
 * What entry and side process add to a call: the same open-loop load straight to the stand-in
 * engines and through one entry, one after the other in one run.
 */
import { CallKind, DEFAULT_SHAPE } from '../caller/callPlan.js';
import type { CallerSummary } from '../caller/callerReport.js';
import { OpenLoopCaller } from '../caller/openLoopCaller.js';
import { Fleet } from '../fleet/fleet.js';
import { MODEL_POOL, planSampleFleet, SAMPLE_MODEL, type FleetPlan } from '../fleet/fleetPlan.js';

import { readUsage } from './processUsage.js';

const MODELS_PER_DOMAIN = 2;

/** Large enough that no gate and no limit of a workspace stands in the way. */
const WIDE_LIMIT = 512;
const TOKENS = 32;
const STEP_MS = 20;
const DURATION_MS = 12_000;
const TIMEOUT_MS = 30_000;
const MS_PER_SECOND = 1_000;
const MIB = 1024 * 1024;

/** Mean number of calls in progress, by Little's law from rate and time of a call. */
const CONCURRENCIES = [1, 50, 250] as const;

/** Share of a daemon at the size in the letter. */
const LETTER_TOKENS_PER_SECOND = 11_100;
const LETTER_REQUESTS_PER_SECOND = 26;
const LETTER_FACTOR = 10;

function widen(plan: FleetPlan): FleetPlan {
  const upstreams = plan.upstreams.map((upstream) =>
    upstream.isPlain ? upstream : { ...upstream, warmLimit: WIDE_LIMIT, coldLimit: WIDE_LIMIT },
  );
  const workspaces = plan.workspaces.map((workspace) => ({
    ...workspace,
    requestsPerSecond: 100_000,
    burst: 100_000,
  }));
  return { ...plan, upstreams, workspaces };
}

function callAll(baseUrls: readonly string[], ratePerSecond: number): Promise<CallerSummary> {
  const caller = new OpenLoopCaller({
    baseUrls,
    headers: { authorization: 'Bearer choir-key-0001' },
    seed: 1,
    ratePerSecond,
    durationMs: DURATION_MS,
    timeoutMs: TIMEOUT_MS,
    shapes: [{ ...DEFAULT_SHAPE, kind: CallKind.Stream, model: SAMPLE_MODEL, maxTokens: TOKENS }],
  });
  return caller.run().then((report) => report.summarise());
}

function formatLine(label: string, rate: number, summary: CallerSummary): string {
  const { firstByte, betweenTokens, verdicts } = summary;
  const ms = (value: number) => value.toFixed(2).padStart(8);
  const latency = `first p50 ${ms(firstByte.p50Ms)} p99 ${ms(firstByte.p99Ms)} ms`;
  const gaps = `gap p50 ${ms(betweenTokens.p50Ms)} p95 ${ms(betweenTokens.p95Ms)} ms`;
  return `${label.padEnd(8)} ${rate.toFixed(1).padStart(6)}/s  ${latency}  ${gaps}  ${JSON.stringify(verdicts)}\n`;
}

async function measure(fleet: Fleet, plan: FleetPlan, concurrency: number): Promise<void> {
  const rate = (concurrency * MS_PER_SECOND) / (TOKENS * STEP_MS);
  const engines = plan.upstreams
    .filter(({ pool }) => pool === MODEL_POOL)
    .map(({ name }) => fleet.readEngineUrl(name));
  const direct = await callAll(engines, rate);
  process.stdout.write(formatLine('direct', rate, direct));

  const { pid } = fleet.getProgram('entry-1');
  const before = await readUsage(pid);
  const startedMs = performance.now();
  const through = await callAll([fleet.entries[0]?.callersUrl ?? ''], rate);
  const spanMs = performance.now() - startedMs;
  const after = await readUsage(pid);
  process.stdout.write(formatLine('through', rate, through));

  const cpuMs = after.cpuMs - before.cpuMs;
  const tokens = through.firstByte.count * TOKENS;
  const cpuShare = (100 * cpuMs) / spanMs;
  const usPerToken = (cpuMs * MS_PER_SECOND) / Math.max(1, tokens);
  const added = {
    p50: through.firstByte.p50Ms - direct.firstByte.p50Ms,
    p99: through.firstByte.p99Ms - direct.firstByte.p99Ms,
  };
  const letterCores =
    (usPerToken * LETTER_TOKENS_PER_SECOND * LETTER_FACTOR) / (MS_PER_SECOND * MS_PER_SECOND);
  process.stdout.write(
    `         ${concurrency} at once: added p50 ${added.p50.toFixed(2)} p99 ${added.p99.toFixed(2)} ms; ` +
      `entry ${cpuShare.toFixed(0)}% of a core at ${((tokens * MS_PER_SECOND) / spanMs).toFixed(0)} tokens/s, ` +
      `${usPerToken.toFixed(1)} us a token, ${(after.residentBytes / MIB).toFixed(0)} MiB\n` +
      `         by that slope ${LETTER_FACTOR * LETTER_REQUESTS_PER_SECOND} requests and ` +
      `${LETTER_FACTOR * LETTER_TOKENS_PER_SECOND} tokens a second take ${letterCores.toFixed(2)} cores\n`,
  );
}

const plan = widen(planSampleFleet(1, MODELS_PER_DOMAIN));
const fleet = await Fleet.start({
  plan,
  engineOptions: {
    isWarmAtStart: true,
    stepMs: STEP_MS,
    stepPerSequenceMs: 0,
    maxRunning: WIDE_LIMIT,
    coldLimit: WIDE_LIMIT,
  },
});
try {
  await CONCURRENCIES.reduce(async (before, concurrency) => {
    await before;
    await measure(fleet, plan, concurrency);
  }, Promise.resolve());
} finally {
  await fleet.stop();
}
