/**
 * Forecast of what one more attempt costs at an upstream, in milliseconds.
 *
 * The sum of: the time that the attempt takes from all that share the batch, the prompt blocks that
 * the prefix cache lacks, and the way to the upstream. Only differences between upstreams matter.
 */
import { ConfigKind } from '../config/object.js';
import type { EntryBoard, UpstreamState } from '../state/entryBoard.js';

import { readLimit, readLoad } from './upstreamState.js';

/** Service time assumed where no upstream has reported one. */
const UNREPORTED_SERVICE_MS = 1_000;

/** Time to compute one prompt block. */
const BLOCK_MS = 6;

/** Way to another failure domain of the region and back. */
const OTHER_DOMAIN_MS = 2;

/** Way to another region and back. */
const OTHER_REGION_MS = 60;

/** Part of the service time that a full batch adds to it. */
const BATCH_SHARE = 0.125;

/** Part of a place that the new attempt is counted as: an idle upstream costs little. */
const OWN_PLACE = 0.5;

/** Use of the KV cache from which on engines interrupt sequences. */
const KV_PRESSURE_SHARE = 0.9;

/** Bounds of the measured slowness of one upstream against the others. */
const SLOWNESS_MIN = 0.5;
const SLOWNESS_MAX = 8;

const WEIGHT_MIN = 0.01;

/** Cost of an upstream whose gate would refuse: it comes after all others. */
const FULL_MS = 1_000_000;

/** Measured times of a pool, each a mean over the upstreams that report it; 0 where none does. */
export interface PoolTimes {
  readonly serviceMs: number;
  readonly stepMs: number;
}

/** What is known of an upstream between reports. */
export interface UpstreamCosts {
  readonly upstream: UpstreamState;
  /** Time that one attempt more adds to each in the batch. */
  readonly placeMs: number;
  /** Places by which the engine is worse off than its attempts in flight say. */
  readonly extraPlaces: number;
  readonly wayMs: number;
}

function meanOfPositive(values: readonly number[]): number {
  const positive = values.filter((value) => value > 0);
  const sum = positive.reduce((total, value) => total + value, 0);
  return positive.length === 0 ? 0 : sum / positive.length;
}

/** Measures the times of a pool. */
export function measurePool(upstreams: readonly UpstreamState[]): PoolTimes {
  return {
    serviceMs: meanOfPositive(upstreams.map(({ report }) => report?.serviceMs ?? 0)),
    stepMs: meanOfPositive(upstreams.map(({ report }) => report?.stepMs ?? 0)),
  };
}

/** Time of one upstream against the mean; by steps, as whole answers vary in length. */
function readSlowness(upstream: UpstreamState, pool: PoolTimes): number {
  const { stepMs = 0, serviceMs = 0 } = upstream.report ?? {};
  const hasSteps = stepMs > 0 && pool.stepMs > 0;
  const ratio = hasSteps ? stepMs / pool.stepMs : serviceMs / pool.serviceMs;
  if (!Number.isFinite(ratio) || ratio <= 0) return 1;
  return Math.min(SLOWNESS_MAX, Math.max(SLOWNESS_MIN, ratio));
}

function readWayMs(board: EntryBoard, upstream: UpstreamState): number {
  if (upstream.domain === board.domain) return 0;
  const region = board.config.get(ConfigKind.Domain, upstream.domain)?.region;
  return region === board.region ? OTHER_DOMAIN_MS : OTHER_REGION_MS;
}

/** An engine that queues, or whose KV cache is nearly full, counts as more loaded. */
function countExtraPlaces(upstream: UpstreamState): number {
  const { queued = 0, kvUsedShare = 0 } = upstream.report ?? {};
  const kvExcess = Math.max(0, kvUsedShare - KV_PRESSURE_SHARE) / (1 - KV_PRESSURE_SHARE);
  return queued + kvExcess * readLimit(upstream);
}

/**
 * Measures what one upstream costs.
 *
 * @param weight share of its limit that the upstream is to be used for
 */
export function measureCosts(
  board: EntryBoard,
  upstream: UpstreamState,
  weight: number,
  pool: PoolTimes,
): UpstreamCosts {
  const places = Math.max(1, readLimit(upstream)) * Math.max(WEIGHT_MIN, weight);
  const serviceMs = (pool.serviceMs || UNREPORTED_SERVICE_MS) * readSlowness(upstream, pool);
  return {
    upstream,
    placeMs: (serviceMs * BATCH_SHARE) / places,
    extraPlaces: countExtraPlaces(upstream),
    wayMs: readWayMs(board, upstream),
  };
}

/**
 * Forecasts the cost of one more attempt.
 *
 * @param missingBlocks prompt blocks that the upstream has to compute
 */
export function forecastMs(costs: UpstreamCosts, missingBlocks: number): number {
  const load = readLoad(costs.upstream);
  const fullMs = load >= readLimit(costs.upstream) ? FULL_MS : 0;
  const batchMs = (load + OWN_PLACE + costs.extraPlaces) * costs.placeMs;
  return fullMs + batchMs + missingBlocks * BLOCK_MS + costs.wayMs;
}
