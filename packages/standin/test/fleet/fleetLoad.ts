/** Load on a fleet of real processes, and what its stand-ins have recorded. */
import { CallKind, DEFAULT_SHAPE } from '../../src/caller/callPlan.js';
import { CallVerdict, type CallResult } from '../../src/caller/callResult.js';
import { OpenLoopCaller } from '../../src/caller/openLoopCaller.js';
import type { Fleet } from '../../src/fleet/fleet.js';
import { SAMPLE_MODEL, type FleetPlan } from '../../src/fleet/fleetPlan.js';
import { readJson } from '../../src/fleet/httpCall.js';

const RATE_PER_SECOND = 20;
const CALL_TIMEOUT_MS = 40_000;
const TOKENS = 30;

/** Verdicts of an answer that nobody can take for something else than it is. */
const HONEST = new Set([CallVerdict.Correct, CallVerdict.Refused, CallVerdict.Broken]);

export interface LoadOptions {
  readonly fleet: Fleet;
  /** Entries that the balancer sends to; a harness may change it during the run. */
  readonly baseUrls: readonly string[];
  readonly durationMs: number;
  readonly seed: number;
  readonly onResult?: (result: CallResult) => void;
}

/** Runs a mix of streams and swaps; resolves with every result. */
export async function runLoad(options: LoadOptions): Promise<readonly CallResult[]> {
  const results: CallResult[] = [];
  const caller = new OpenLoopCaller({
    baseUrls: options.baseUrls,
    headers: { authorization: 'Bearer choir-key-0001' },
    seed: options.seed,
    ratePerSecond: RATE_PER_SECOND,
    durationMs: options.durationMs,
    timeoutMs: CALL_TIMEOUT_MS,
    shapes: [
      { ...DEFAULT_SHAPE, kind: CallKind.Stream, model: SAMPLE_MODEL, maxTokens: TOKENS },
      { ...DEFAULT_SHAPE, kind: CallKind.Swap },
    ],
    onResult: (result) => {
      results.push(result);
      options.onResult?.(result);
    },
  });
  await caller.run();
  return results;
}

/** Results that a caller could have taken for something else than they were. */
export function listDishonest(results: readonly CallResult[]): readonly string[] {
  return results
    .filter(({ verdict }) => !HONEST.has(verdict))
    .map(({ id, verdict, reason }) => `${id} ${verdict} ${reason}`);
}

/** Swaps that ran more than once, or ran though they were called not run. */
export async function listSwapFaults(
  fleet: Fleet,
  plan: FleetPlan,
  results: readonly CallResult[],
): Promise<readonly string[]> {
  const plain = plan.upstreams.filter(({ isPlain }) => isPlain);
  const records = await Promise.all(
    plain.map(({ name }) => readJson({ url: `${fleet.readEngineUrl(name)}/record` })),
  );
  const runs = new Map<string, number>();
  records.forEach((record) => {
    const { byRequest } = record as { byRequest: Readonly<Record<string, number>> };
    Object.entries(byRequest).forEach(([id, count]) => runs.set(id, (runs.get(id) ?? 0) + count));
  });
  const doubled = [...runs].filter(([, count]) => count > 1).map(([id]) => `${id} ran twice`);
  const untrue = results
    .filter(({ kind, outcome }) => kind === String(CallKind.Swap) && outcome === 'not-run')
    .filter(({ id }) => (runs.get(id) ?? 0) > 0)
    .map(({ id }) => `${id} ran, and was called not run`);
  return [...doubled, ...untrue];
}
