/** Simulates map switches of a group on a fake clock, with faults at numbered events. */
import FakeTimers from '@sinonjs/fake-timers';
import fc from 'fast-check';

import type { ExpertMap } from '@radishbay/core/groups/expertMap.js';
import { MapRollout } from '@radishbay/core/groups/mapRollout.js';
import { Random } from '@radishbay/core/ports/random.js';
import { CountingMetrics } from '@radishbay/core/ports/countingMetrics.js';

import { EventFaults, FaultKind, type Fault } from '../../src/group/eventFaults.js';
import { FaultyControl } from '../../src/group/faultyControl.js';
import { CoordinatorProcess } from '../../src/group/proposer.js';
import { RankGroup } from '../../src/group/rankGroup.js';
import { SideSlot } from '../../src/group/sideSlot.js';
import { runClock } from './clockRun.js';

const STEP_MS = 20;
const RUN_MS = 7_000;
const LAST_WINDOW_MS = 1_000;
const HOLD_LIMIT_MS = 300;
/** Share of events with a fault in a burst. */
const FAULT_SHARE = 0.2;
/** Distance between the versions of one coordinator, so that those of others lie between. */
const VERSION_STRIDE = 20;
/** Time between the starts of successive coordinators. */
const SUCCESSOR_INTERVAL_MS = 300;
const MESSAGE_KINDS = [FaultKind.Lose, FaultKind.Delay, FaultKind.Repeat];
const MESSAGE_SHARE = 0.8;
const ENGINE_ORDER_LIMIT_MS = 200;
/** First event with an effect; earlier ones only read ranks. */
export const FIRST_EVENT = 5;

const TIMES = { oneWayMs: 1, timeoutMs: 60 };

export interface Scenario {
  readonly ranks: number;
  readonly isFencingChecked: boolean;
  readonly faults: readonly Fault[];
  /** When the second coordinator starts, if any; the first one starts at 300 ms. */
  readonly secondAtMs: number | undefined;
  readonly seed: number;
  /** Time for which a restarted side process refuses orders; lowered to show that it is needed. */
  readonly startWaitMs?: number;
  readonly holdLimitMs?: number;
  readonly runMs?: number;
  /** Number of maps that each coordinator rolls out. */
  readonly rollouts?: number;
  /** Number of coordinators after the second one. */
  readonly successors?: number;
}

export interface RunResult {
  readonly mixedSteps: number;
  /** Steps started in the last second of the run. */
  readonly lastSteps: number;
  readonly events: number;
  readonly finalVersion: number;
  readonly longestStallMs: number;
  /** Messages sent by the first coordinator. */
  readonly messages: number;
}

const METRICS = new CountingMetrics();

export function makeMap(version: number, ranks: number): ExpertMap {
  const shape = { ranks, layers: 1, experts: ranks, slotsPerRank: 1 };
  return { version, shape, slots: Array.from({ length: ranks }, (_, rank) => rank) };
}

/** Rolls maps out one after the other; the versions of the coordinators do not overlap. */
async function rollOutAll(
  rollout: MapRollout,
  version: number,
  ranks: number,
  left: number,
): Promise<void> {
  if (left === 0) return;
  // Worst case: discards every older map that is not in force on the rank.
  const discarded = Array.from({ length: version - 1 }, (_, index) => index + 1);
  await rollout.run(makeMap(version, ranks), discarded);
  await rollOutAll(rollout, version + VERSION_STRIDE, ranks, left - 1);
}

function startCoordinator(
  slots: readonly SideSlot[],
  faults: EventFaults,
  fencingNumber: number,
  rollouts: number,
): FaultyControl {
  const control = new FaultyControl(slots, TIMES, faults, new CoordinatorProcess());
  const options = {
    fencingNumber,
    incarnation: `entry-${fencingNumber}`,
    retries: 3,
    // Worst case: the coordinator never notices that its lease has expired.
    canOrder: () => true,
  };
  const rollout = new MapRollout(control, options, METRICS);
  rollOutAll(rollout, fencingNumber + 1, slots.length, rollouts);
  return control;
}

/** Runs a scenario and returns what was observed. */
export async function runSwitch(scenario: Scenario): Promise<RunResult> {
  const clock = FakeTimers.install({ now: 0 });
  const group = new RankGroup({ ...scenario, stepMs: STEP_MS });
  const faults = new EventFaults(scenario.faults);
  const slots: SideSlot[] = [];
  const controlOf = (slot: SideSlot) =>
    new FaultyControl(slots, TIMES, faults, slot.makeProposer());
  group.engines.forEach((engine, rank) => {
    const options = {
      rank,
      seed: scenario.seed,
      holdLimitMs: scenario.holdLimitMs ?? HOLD_LIMIT_MS,
      engineOrderLimitMs: ENGINE_ORDER_LIMIT_MS,
      startWaitMs: scenario.startWaitMs ?? ENGINE_ORDER_LIMIT_MS,
    };
    slots.push(new SideSlot(engine, options, faults, controlOf, METRICS));
  });
  group.boot(makeMap(1, scenario.ranks));
  const rollouts = scenario.rollouts ?? 1;
  let first: FaultyControl | undefined;
  setTimeout(() => {
    first = startCoordinator(slots, faults, 1, rollouts);
  }, 300);
  if (scenario.secondAtMs !== undefined) {
    setTimeout(() => startCoordinator(slots, faults, 2, rollouts), scenario.secondAtMs);
  }
  Array.from({ length: scenario.successors ?? 0 }, (_, index) => index + 3).forEach((fencing) => {
    setTimeout(
      () => startCoordinator(slots, faults, fencing, rollouts),
      fencing * SUCCESSOR_INTERVAL_MS,
    );
  });
  const runMs = scenario.runMs ?? RUN_MS;
  await runClock(clock, runMs);
  clock.uninstall();
  const lastSteps = group.record.filter((step) => step.startedAtMs > runMs - LAST_WINDOW_MS);
  return {
    mixedSteps: group.mixedSteps.length,
    lastSteps: lastSteps.length,
    events: faults.events,
    finalVersion: lastSteps[lastSteps.length - 1]?.versions[0] ?? 0,
    longestStallMs: group.longestStallMs,
    messages: first?.messages ?? 0,
  };
}

/** Draws faults at about one event in five among the first `events` events. */
export function drawFaultBurst(seed: number, events: number): Fault[] {
  const random = new Random(seed);
  const draw = (event: number): Fault => {
    const kinds = random.next() < MESSAGE_SHARE ? MESSAGE_KINDS : Object.values(FaultKind);
    const kind = kinds[random.nextInt(kinds.length)] ?? FaultKind.Lose;
    return { event, kind, durationMs: 5 + random.nextInt(400) };
  };
  return Array.from({ length: events }, (_, event) => draw(event)).filter(
    () => random.next() < FAULT_SHARE,
  );
}

/** Generates one to `most` faults at any events of a run. */
export function arbitraryFaults(events: number, most: number): fc.Arbitrary<Fault[]> {
  const fault = fc.record({
    event: fc.integer({ min: FIRST_EVENT, max: events }),
    kind: fc.constantFrom(...Object.values(FaultKind)),
    durationMs: fc.integer({ min: 5, max: 900 }),
  });
  return fc.array(fault, { minLength: 1, maxLength: most });
}
