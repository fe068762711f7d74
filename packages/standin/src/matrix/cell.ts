/** One run of a scenario with faults at numbered events, and its judgement. */
import { applyFault, isCallFault, isPlatformFault, isPossible, type FaultKind } from './fault.js';
import { EventKind, type NumberedEvent } from './fake/eventLog.js';
import { CallerEnd } from './fake/memoryCaller.js';
import { judgeLeftovers, judgePlatformOutage, judgeRequests } from './judge.js';
import type { Scenario } from './scenario/scenario.js';
import { World } from './world.js';

/** Time for everything to come back after the last fault. */
const RECOVERY_MS = 30_000;
/** Interfaces of an order's way: requests' executions have scenarios of their own. */
const ORDER_KINDS = new Set([EventKind.Link, EventKind.Store]);
const PROBE_LIMIT_MS = 20_000;

/** A fault at an event; events are numbered from 1. */
export interface PlacedFault {
  readonly event: number;
  readonly kind: FaultKind;
}

export interface CellResult {
  readonly events: readonly NumberedEvent[];
  /** Whether each fault met its event and could be put there. */
  readonly isApplied: boolean;
  readonly violations: readonly string[];
  /** How callers ended, as counts by {@link CallerEnd}. */
  readonly ends: Readonly<Record<string, number>>;
}

function countEnds(world: World): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  world.sent.forEach(({ caller }) => {
    counts[caller.outcome] = (counts[caller.outcome] ?? 0) + 1;
  });
  return counts;
}

/** Requests of every class through every entry: all must be answered after the recovery. */
async function probe(world: World): Promise<readonly string[]> {
  const probes = [...world.entries.keys()].flatMap((entry) => [
    world.send(entry, { tag: `probe-${entry}`, path: '/v1/completions', isStream: true }),
    world.send(entry, { tag: `probe-once-${entry}`, path: '/swaps', isStream: false }),
  ]);
  const hasEnded = () => probes.every(({ caller }) => caller.outcome !== CallerEnd.Waiting);
  await world.clock.advanceUntil(hasEnded, PROBE_LIMIT_MS);
  return probes
    .filter(({ caller }) => caller.outcome !== CallerEnd.Answered)
    .map(({ request, caller }) => {
      const reason = caller.refusal?.reason ?? '';
      return `${request.tag} was ${caller.outcome} ${reason} after the recovery`;
    });
}

/** Whether callers without a key must not notice the faults: they concern the platform alone. */
function mustGoUnnoticed(scenario: Scenario, faults: readonly PlacedFault[]): boolean {
  if (!faults.every(({ kind }) => isPlatformFault(kind))) return false;
  return scenario.keepsMajority || faults.every(({ kind }) => isCallFault(kind));
}

/** Runs a scenario once. */
export async function runCell(
  scenario: Scenario,
  seed: number,
  faults: readonly PlacedFault[],
): Promise<CellResult> {
  const world = new World(scenario.plan, seed);
  try {
    await world.start();
    world.faults.steps = scenario.steps;
    if (scenario.steps) world.events.kinds = ORDER_KINDS;
    world.events.listen((event) => {
      const placed = faults.filter((fault) => fault.event === event.number);
      placed
        .filter((fault) => isPossible(world, fault.kind, event))
        .forEach((fault) => {
          world.faultCount += 1;
          applyFault(world, fault.kind, event);
        });
    });
    world.events.isCounting = true;
    await scenario.act(world);
    world.events.isCounting = false;
    await world.clock.advance(RECOVERY_MS);
    const isSettled = world.isSettled();
    const violations = [
      ...judgeRequests(world),
      ...(mustGoUnnoticed(scenario, faults) ? judgePlatformOutage(world) : []),
      ...scenario.judge(world),
      ...(isSettled ? [] : ['the fleet did not come back']),
      ...(await probe(world)),
      ...judgeLeftovers(world),
    ];
    const { events } = world.events;
    return {
      events,
      isApplied: world.faultCount === faults.length,
      violations,
      ends: countEnds(world),
    };
  } finally {
    world.dispose();
  }
}
