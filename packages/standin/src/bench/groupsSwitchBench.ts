/**
 * Measures stall and messages of a map switch: held barrier (as built) and step licence (a trial).
 *
 * Runs in real time, so the timer's own lateness is printed beside: the longest gap between two
 * steps while nothing is switched. Usage: node packages/standin/dist/src/bench/groupsSwitchBench.js
 */
import type { ExpertMap } from '@radishbay/core/groups/expertMap.js';
import { MapRollout } from '@radishbay/core/groups/mapRollout.js';
import { CountingMetrics } from '@radishbay/core/ports/countingMetrics.js';

import { EventFaults } from '../group/eventFaults.js';
import { FaultyControl } from '../group/faultyControl.js';
import { CoordinatorProcess } from '../group/proposer.js';
import { RankGroup } from '../group/rankGroup.js';
import { SideSlot } from '../group/sideSlot.js';
import { LicenceGroup } from './groupsLicenceGroup.js';

const SIZES = [4, 8, 16, 32];
const SWITCHES = 15;
const STEP_MS = 40;
const ONE_WAY_MS = 5;
const PAUSE_MS = 200;
const START_MS = 100;
const LEAD_STEPS = 2;

interface Sample {
  readonly stallMs: number;
  readonly messages: number;
}

/** Writes one line of the report. */
function writeLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function makeMap(version: number, ranks: number): ExpertMap {
  const shape = { ranks, layers: 1, experts: ranks, slotsPerRank: 1 };
  return { version, shape, slots: Array.from({ length: ranks }, (_, rank) => rank) };
}

/** A group with its side processes; it lives as long as this process. */
async function bootGroup(ranks: number): Promise<{ group: RankGroup; control: FaultyControl }> {
  const group = new RankGroup({ ranks, isFencingChecked: true, stepMs: STEP_MS });
  const faults = new EventFaults([]);
  const slots: SideSlot[] = [];
  const times = { oneWayMs: ONE_WAY_MS, timeoutMs: 1000 };
  const controlOf = (slot: SideSlot) =>
    new FaultyControl(slots, times, faults, slot.makeProposer());
  group.engines.forEach((engine, rank) => {
    const options = {
      rank,
      seed: 1,
      holdLimitMs: 5000,
      engineOrderLimitMs: 10,
      startWaitMs: 10,
    };
    slots.push(new SideSlot(engine, options, faults, controlOf, new CountingMetrics()));
  });
  const control = new FaultyControl(slots, times, faults, new CoordinatorProcess());
  await delay(START_MS);
  group.boot(makeMap(1, ranks));
  return { group, control };
}

/** Longest gap between two steps from a step on. */
function findStall(group: RankGroup, fromStep: number): number {
  const starts = group.record.slice(fromStep).map((step) => step.startedAtMs);
  const gaps = starts.slice(1).map((startMs, index) => startMs - (starts[index] ?? 0) - STEP_MS);
  return Math.max(0, ...gaps);
}

async function measureBarrier(ranks: number): Promise<readonly Sample[]> {
  const { group, control } = await bootGroup(ranks);
  const options = {
    fencingNumber: 1,
    incarnation: 'bench',
    retries: 3,
    canOrder: () => true,
  };
  const rollout = new MapRollout(control, options, new CountingMetrics());
  const samples: Sample[] = [];
  const measureOne = async (version: number): Promise<void> => {
    if (version > SWITCHES + 1) return;
    await rollout.stage(makeMap(version, ranks), [version - 2]);
    await delay(PAUSE_MS);
    const fromStep = group.steps - 1;
    const before = control.messages;
    await rollout.putInForce(version);
    const messages = control.messages - before;
    await delay(PAUSE_MS);
    samples.push({ stallMs: findStall(group, fromStep), messages });
    await measureOne(version + 1);
  };
  await measureOne(2);
  if (group.mixedSteps.length > 0) throw new Error('a step with two maps');
  return samples;
}

async function measureLicence(ranks: number, leadSteps: number): Promise<readonly Sample[]> {
  const samples: Sample[] = [];
  const measureOne = async (left: number): Promise<void> => {
    if (left === 0) return;
    const group = new LicenceGroup({ ranks, stepMs: STEP_MS, oneWayMs: ONE_WAY_MS, leadSteps });
    await delay(PAUSE_MS);
    await group.switchMap();
    await delay(PAUSE_MS);
    group.stop();
    samples.push({ stallMs: group.longestStallMs, messages: group.messages });
    await measureOne(left - 1);
  };
  await measureOne(SWITCHES);
  return samples;
}

/** Longest gap of a group that switches nothing. */
async function measureIdle(ranks: number): Promise<number> {
  const { group } = await bootGroup(ranks);
  await delay(SWITCHES * PAUSE_MS);
  return findStall(group, 0);
}

function print(name: string, ranks: number, samples: readonly Sample[]): void {
  const stalls = samples.map((sample) => sample.stallMs).sort((first, second) => first - second);
  const median = stalls[Math.floor(stalls.length / 2)] ?? 0;
  const longest = stalls[stalls.length - 1] ?? 0;
  const trips = (median / (2 * ONE_WAY_MS)).toFixed(1);
  writeLine(
    `${name.padEnd(16)} ${String(ranks).padStart(5)}  ${String(samples[0]?.messages).padStart(8)}  ` +
      `${median.toFixed(1).padStart(8)}  ${trips.padStart(11)}  ${longest.toFixed(1).padStart(8)}`,
  );
}

async function measureSize(ranks: number): Promise<void> {
  print('held barrier', ranks, await measureBarrier(ranks));
  print('licence, lead 1', ranks, await measureLicence(ranks, 1));
  print('licence, lead 2', ranks, await measureLicence(ranks, LEAD_STEPS));
  writeLine(
    `nothing          ${String(ranks).padStart(5)}  longest gap ${(await measureIdle(ranks)).toFixed(1)} ms`,
  );
}

writeLine(`step ${STEP_MS} ms, round trip ${2 * ONE_WAY_MS} ms, ${SWITCHES} switches each`);
writeLine('protocol         ranks  messages  stall ms  round trips   longest');
await Promise.all(SIZES.map((ranks) => measureSize(ranks)));
