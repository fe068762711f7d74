/**
 * Service while a failure domain leaves and returns, under open-loop load at shares of capacity.
 *
 * Real processes: two entries, three failure domains. The load goes on from before the drain until
 * after the return; results are put into windows by the time at which a call was due.
 */
import { wait } from '@radishbay/core/wait.js';
import { CallKind, DEFAULT_SHAPE } from '../caller/callPlan.js';
import { CallerReport } from '../caller/callerReport.js';
import type { CallResult } from '../caller/callResult.js';
import { OpenLoopCaller } from '../caller/openLoopCaller.js';
import { runOperatorCommand } from '../demo/operatorCommand.js';
import { Fleet } from '../fleet/fleet.js';
import { planSampleFleet, SAMPLE_MODEL } from '../fleet/fleetPlan.js';

const ENTRIES = 2;
const MODELS_PER_DOMAIN = 2;
const DOMAINS = 3;
const WARM_LIMIT = 16;
const TOKENS = 16;
const STEP_MS = 20;

/** Time of a call on an unloaded engine: prefill, then one step a token. */
const CALL_MS = TOKENS * STEP_MS;
const CAPACITY_PER_SECOND = (DOMAINS * MODELS_PER_DOMAIN * WARM_LIMIT * 1_000) / CALL_MS;
const LOAD_SHARES = [0.6, 0.85] as const;
const WARM_UP_MS = 12_000;
const WINDOW_MS = 10_000;
const DRAINED_DOMAIN = 'zone-a';

enum Window {
  Before = 'before',
  During = 'during',
  After = 'after',
}

/** Gives an order as an operator does; resolves with the time it took to be in force. */
async function give(fleet: Fleet, action: string): Promise<number> {
  const startedMs = performance.now();
  const force = action === 'drain' ? ['--force'] : [];
  const words = ['order', action, DRAINED_DOMAIN, '--wait', '--wait-ms', '20000', ...force];
  const { code, lines } = await runOperatorCommand(fleet, words);
  if (code !== 0) process.stdout.write(`  ${action} ended with ${code}: ${lines.join(' | ')}\n`);
  return performance.now() - startedMs;
}

function writeWindow(window: Window, report: CallerReport): void {
  const { made, verdicts, refusals, firstByte, betweenTokens } = report.summarise();
  const success = (100 * (verdicts.correct ?? 0)) / Math.max(1, made);
  process.stdout.write(
    `  ${window.padEnd(7)} ${String(made).padStart(5)} calls ${success.toFixed(2).padStart(6)}% answered  ` +
      `first p50 ${firstByte.p50Ms.toFixed(0)} p95 ${firstByte.p95Ms.toFixed(0)} p99 ${firstByte.p99Ms.toFixed(0)} ms  ` +
      `gap p95 ${betweenTokens.p95Ms.toFixed(0)} ms  refusals ${JSON.stringify(refusals)}\n`,
  );
}

async function measure(loadShare: number): Promise<void> {
  const plan = planSampleFleet(ENTRIES, MODELS_PER_DOMAIN);
  const fleet = await Fleet.start({
    plan,
    engineOptions: {
      isWarmAtStart: true,
      stepMs: STEP_MS,
      stepPerSequenceMs: 0,
      maxRunning: WARM_LIMIT,
    },
  });
  try {
    const reports = new Map(Object.values(Window).map((name) => [name, new CallerReport()]));
    let window: Window | undefined;
    const ratePerSecond = CAPACITY_PER_SECOND * loadShare;
    const caller = new OpenLoopCaller({
      baseUrls: fleet.entries.map(({ callersUrl }) => callersUrl),
      headers: { authorization: 'Bearer choir-key-0001' },
      seed: 1,
      ratePerSecond,
      durationMs: WARM_UP_MS + 3 * WINDOW_MS,
      timeoutMs: 40_000,
      shapes: [{ ...DEFAULT_SHAPE, kind: CallKind.Stream, model: SAMPLE_MODEL, maxTokens: TOKENS }],
      onResult: (result: CallResult) => {
        if (window) reports.get(window)?.add(result);
      },
    });
    const run = caller.run();
    await wait(WARM_UP_MS);
    window = Window.Before;
    await wait(WINDOW_MS);
    window = Window.During;
    const drainMs = await give(fleet, 'drain');
    await wait(Math.max(0, WINDOW_MS - drainMs));
    window = Window.After;
    const restoreMs = await give(fleet, 'restore');
    await run;
    process.stdout.write(
      `load ${(100 * loadShare).toFixed(0)}% of capacity, ${ratePerSecond.toFixed(0)} calls/s; ` +
        `drain in force after ${drainMs.toFixed(0)} ms, return after ${restoreMs.toFixed(0)} ms (command included)\n`,
    );
    reports.forEach((report, name) => writeWindow(name, report));
  } finally {
    await fleet.stop();
  }
}

await LOAD_SHARES.reduce(async (before, loadShare) => {
  await before;
  await measure(loadShare);
}, Promise.resolve());
