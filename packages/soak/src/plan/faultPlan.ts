/** The faults of a run, drawn from its seed: single ones, series and overlaps. */
import { Random } from '@radishbay/core/ports/random.js';

import { FaultKind, type Fault } from './fault.js';

/** Mean time between two faults that begin. */
const GAP_MS = 1_100;

/** Part of the faults that come as a series of the same kind. */
const SERIES_PART = 0.25;

const SERIES_MAX = 4;

/** Time between two faults of a series. */
const SERIES_GAP_MS = 700;

const SPAN_MIN_MS = 400;

/** Long enough to outlast each silence limit of the product. */
const SPAN_MAX_MS = 5_000;

const TARGETS = 1_000;

const KINDS = Object.values(FaultKind);

/** Kinds of which there are several at a time, as operators work all day. */
const OFTEN: readonly FaultKind[] = [
  FaultKind.ConfigChange,
  FaultKind.ConfigChange,
  FaultKind.EntryStop,
];

function drawKind(random: Random): FaultKind {
  const all = [...KINDS, ...OFTEN];
  return all[random.nextInt(all.length)] ?? FaultKind.ConfigChange;
}

function drawSeries(random: Random, atMs: number): readonly Fault[] {
  const kind = drawKind(random);
  const count = random.next() < SERIES_PART ? 2 + random.nextInt(SERIES_MAX - 1) : 1;
  return Array.from({ length: count }, (_, at) => ({
    kind,
    atMs: Math.round(atMs + at * SERIES_GAP_MS),
    forMs: Math.round(SPAN_MIN_MS + random.next() ** 2 * (SPAN_MAX_MS - SPAN_MIN_MS)),
    target: random.nextInt(TARGETS),
    draw: random.next(),
  }));
}

/** Draws the plan of a run; equal seeds give equal plans. */
export function createPlan(seed: number, lastsMs: number): readonly Fault[] {
  const random = new Random(seed);
  const plan: Fault[] = [];
  for (let atMs = random.next() * GAP_MS; atMs < lastsMs; atMs += random.next() * 2 * GAP_MS) {
    plan.push(...drawSeries(random, atMs));
  }
  return plan.filter((fault) => fault.atMs < lastsMs).sort((a, b) => a.atMs - b.atMs);
}
