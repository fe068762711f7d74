/** Draws the faults of a run from its seed: single faults, series and overlaps. */
import { Random } from '@radishbay/core/ports/random.js';

import { FaultKind, type Fault } from './fault.js';

/** Mean time between the starts of two faults or series. */
const MEAN_GAP_MS = 1_100;

/** Fraction of the draws that give a series of faults of one kind. */
const SERIES_RATIO = 0.25;

const SERIES_LENGTH_MAX = 4;

/** Time between the starts of two faults of a series. */
const SERIES_GAP_MS = 700;

const DURATION_MIN_MS = 400;

/** Longer than every silence limit of the entries. */
const DURATION_MAX_MS = 5_000;

const TARGET_RANGE = 1_000;

/** Mean time between two returns of the store from an older copy. */
const RETURN_MEAN_GAP_MS = 9_000;

/** Added to the seed for the returns, which have random numbers of their own. */
const RETURN_SEED_OFFSET = 1_000_003;

/** Mean time between two floods of callers. */
const FLOOD_MEAN_GAP_MS = 8_000;

/** Added to the seed for the floods. */
const FLOOD_SEED_OFFSET = 2_000_003;

/** Kinds drawn apart from all others, so that plans of earlier seeds keep their faults. */
const SEPARATE_KINDS: ReadonlySet<FaultKind> = new Set([
  FaultKind.StoreReturns,
  FaultKind.CallerFlood,
]);

const KINDS = Object.values(FaultKind).filter((kind) => !SEPARATE_KINDS.has(kind));

/** Kinds that are drawn more often than others, as operators act frequently. */
const EXTRA_KINDS: readonly FaultKind[] = [
  FaultKind.ConfigChange,
  FaultKind.ConfigChange,
  FaultKind.EntryStop,
];

function drawKind(random: Random): FaultKind {
  const all = [...KINDS, ...EXTRA_KINDS];
  return all[random.nextInt(all.length)] ?? FaultKind.ConfigChange;
}

function drawSeries(random: Random, atMs: number): readonly Fault[] {
  const kind = drawKind(random);
  const count = random.next() < SERIES_RATIO ? 2 + random.nextInt(SERIES_LENGTH_MAX - 1) : 1;
  return Array.from({ length: count }, (_, at) => ({
    kind,
    atMs: Math.round(atMs + at * SERIES_GAP_MS),
    forMs: Math.round(DURATION_MIN_MS + random.next() ** 2 * (DURATION_MAX_MS - DURATION_MIN_MS)),
    target: random.nextInt(TARGET_RANGE),
    draw: random.next(),
  }));
}

/** Draws the faults of one kind that is drawn apart. */
function drawSeparate(
  kind: FaultKind,
  random: Random,
  meanGapMs: number,
  durationMs: number,
): readonly Fault[] {
  const faults: Fault[] = [];
  const drawGapMs = () => random.next() * 2 * meanGapMs;
  for (let atMs = drawGapMs() / 2; atMs < durationMs; atMs += drawGapMs()) {
    faults.push({
      kind,
      atMs: Math.round(atMs),
      forMs: Math.round(DURATION_MIN_MS + random.next() * (DURATION_MAX_MS - DURATION_MIN_MS)),
      target: kind === FaultKind.StoreReturns ? 0 : random.nextInt(TARGET_RANGE),
      draw: random.next(),
    });
  }
  return faults;
}

function drawReturns(seed: number, durationMs: number): readonly Fault[] {
  const random = new Random(seed + RETURN_SEED_OFFSET);
  return drawSeparate(FaultKind.StoreReturns, random, RETURN_MEAN_GAP_MS, durationMs);
}

function drawFloods(seed: number, durationMs: number): readonly Fault[] {
  const random = new Random(seed + FLOOD_SEED_OFFSET);
  return drawSeparate(FaultKind.CallerFlood, random, FLOOD_MEAN_GAP_MS, durationMs);
}

/** Draws the plan of a run, sorted by time; equal seeds and durations give equal plans. */
export function createPlan(seed: number, durationMs: number): readonly Fault[] {
  const random = new Random(seed);
  const plan: Fault[] = [];
  for (
    let atMs = random.next() * MEAN_GAP_MS;
    atMs < durationMs;
    atMs += random.next() * 2 * MEAN_GAP_MS
  ) {
    plan.push(...drawSeries(random, atMs));
  }
  plan.push(...drawReturns(seed, durationMs), ...drawFloods(seed, durationMs));
  return plan.filter((fault) => fault.atMs < durationMs).sort((a, b) => a.atMs - b.atMs);
}
