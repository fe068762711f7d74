import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { FaultKind } from '../../src/group/eventFaults.js';
import {
  FIRST_EVENT,
  arbitraryFaults,
  drawFaultBurst,
  runSwitch,
  type Scenario,
} from './switchRun.js';

const QUIET: Scenario = {
  ranks: 3,
  isFencingChecked: false,
  faults: [],
  secondAtMs: undefined,
  seed: 1,
};

/** Number of events up to the end of both switches in a run with two coordinators. */
const SWITCH_EVENTS = 110;

const SEED = 20_261_204;

const RUNS = 200;

const BURST_EVENTS = 1200;

const BURST_RUN_MS = 20_000;

async function assertSafeAndLive(scenario: Scenario): Promise<void> {
  const result = await runSwitch(scenario);
  const replay = JSON.stringify(scenario);
  assert.is(result.mixedSteps, 0, `a step used two maps: ${replay}`);
  assert.ok(result.lastSteps > 10, `the group does not step: ${replay}`);
}

/** Runs every fault kind at every event, one run after the other. */
async function runEach(event: number, kinds: readonly FaultKind[]): Promise<void> {
  if (event > SWITCH_EVENTS) return;
  const [kind, ...rest] = kinds;
  if (!kind) {
    await runEach(event + 1, Object.values(FaultKind));
    return;
  }
  const faults = [{ event, kind, durationMs: 150 + 7 * (event % 90) }];
  const isFencingChecked = event % 2 === 0;
  await assertSafeAndLive({ ...QUIET, faults, isFencingChecked, secondAtMs: 303 });
  await runEach(event, rest);
}

test('a switch without faults stalls the group for at most one step and two round trips', async () => {
  const result = await runSwitch(QUIET);
  assert.is(result.finalVersion, 2);
  assert.ok(result.longestStallMs <= 20 + 4, `${result.longestStallMs} ms`);
});

test('all ranks use one map in every step with any one fault at any event', async () => {
  await runEach(FIRST_EVENT, Object.values(FaultKind));
});

test('all ranks use one map in every step with several faults and two coordinators', async () => {
  const scenario = fc.record({
    ranks: fc.integer({ min: 2, max: 4 }),
    isFencingChecked: fc.boolean(),
    faults: arbitraryFaults(2 * SWITCH_EVENTS, 6),
    secondAtMs: fc.option(fc.integer({ min: 290, max: 900 }), { nil: undefined }),
    seed: fc.nat(1000),
  });
  await fc.assert(fc.asyncProperty(scenario, assertSafeAndLive), { seed: SEED, numRuns: RUNS });
});

test('all ranks use one map in every step while a fault hits one event in five', async () => {
  const scenario = fc.record({
    ranks: fc.integer({ min: 2, max: 4 }),
    isFencingChecked: fc.boolean(),
    faults: fc.nat(100_000).map((seed) => drawFaultBurst(seed, BURST_EVENTS)),
    secondAtMs: fc.integer({ min: 290, max: 900 }),
    seed: fc.nat(1000),
    holdLimitMs: fc.constantFrom(60, 100, 300),
    runMs: fc.constant(BURST_RUN_MS),
    rollouts: fc.constant(6),
    successors: fc.constant(4),
  });
  await fc.assert(fc.asyncProperty(scenario, assertSafeAndLive), { seed: SEED, numRuns: RUNS });
});

test.run();
