/** A run of load with a fault in its middle, and what must hold of its results. */
import * as assert from 'uvu/assert';

import { CallVerdict, type CallResult } from '../../src/caller/callResult.js';
import { runOperatorCommand } from '../../src/demo/operatorCommand.js';
import { Fleet } from '../../src/fleet/fleet.js';
import { planSampleFleet } from '../../src/fleet/fleetPlan.js';
import { readJson } from '../../src/fleet/httpCall.js';

import { listDishonest, listSwapFaults, runLoad } from './fleetLoad.js';

export const LOAD_MS = 6_000;

/** Results after which a fault is put, so that it meets requests in flight. */
const RESULTS_BEFORE_FAULT = 20;

export const PLAN = planSampleFleet(2, 1);

/** What the tests of a suite share: a fleet of its own for each test. */
export interface FleetContext {
  fleet: Fleet;
}

/** Starts a test's fleet; says on the output why it does not start, as uvu drops a hook's error. */
export async function startFleet(context: Partial<FleetContext>): Promise<void> {
  delete context.fleet;
  try {
    context.fleet = await Fleet.start({ plan: PLAN, hasRelays: true });
  } catch (error) {
    process.stdout.write(`the fleet does not start: ${String(error)}\n`);
    throw error;
  }
}

/** Ends a test's fleet, where it came up. */
export async function stopFleet({ fleet }: Partial<FleetContext>): Promise<void> {
  await fleet?.stop();
}

/** Waits until an entry has heard from each pool in each domain: a drain relies on that. */
export async function waitForReports(fleet: Fleet, entry: string): Promise<void> {
  const { lines } = await runOperatorCommand(fleet, ['ask', 'load', '--json'], [entry]);
  const rows = JSON.parse(lines.join('')) as readonly { readonly limit: number }[];
  if (rows.length > 0 && rows.every(({ limit }) => limit > 0)) return;
  await waitForReports(fleet, entry);
}

/** Runs load and puts a fault once enough results are in. */
export async function runFaulted(
  fleet: Fleet,
  baseUrls: readonly string[],
  seed: number,
  fault: () => Promise<void> | void,
): Promise<readonly CallResult[]> {
  let count = 0;
  let faulted: Promise<void> | undefined;
  const results = await runLoad({
    fleet,
    baseUrls,
    durationMs: LOAD_MS,
    seed,
    onResult: () => {
      count += 1;
      if (count === RESULTS_BEFORE_FAULT) faulted = Promise.resolve(fault());
    },
  });
  assert.ok(faulted, 'the fault was put');
  await faulted;
  return results;
}

export async function assertHonest(fleet: Fleet, results: readonly CallResult[]): Promise<void> {
  assert.equal(listDishonest(results), []);
  assert.equal(await listSwapFaults(fleet, PLAN, results), []);
}

export function readUrls(fleet: Fleet): string[] {
  return fleet.entries.map(({ callersUrl }) => callersUrl);
}

/** Executions begun by the model engines of the drained domain. */
export async function countDomainRuns(fleet: Fleet): Promise<number> {
  const record = await readJson({ url: `${fleet.readEngineUrl('assistant-a1')}/record` });
  return Object.keys((record as { executions: object }).executions).length;
}

/** Results other than the one that each request was to have. */
export function listIncorrect(results: readonly CallResult[]): readonly CallResult[] {
  return results.filter(({ verdict }) => verdict !== CallVerdict.Correct);
}
