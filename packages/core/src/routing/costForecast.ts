/**
 * Forecast of the cost of one more attempt at an upstream, in milliseconds.
 *
 * The cost is the sum of the delay that the attempt adds to its batch, the time to compute the
 * prompt blocks that are not in the prefix cache, and the network round trip. Only differences
 * between upstreams matter.
 */
import { ConfigKind } from '../config/object.js';
import type { EntryBoard, UpstreamState } from '../state/entryBoard.js';

import { readLimit, readLoad } from './upstreamState.js';

/** Service time assumed if no upstream of the pool has reported one. */
const DEFAULT_SERVICE_MS = 1_000;

/** Time to compute one prompt block. */
const PREFILL_BLOCK_MS = 6;

/** Round trip to another failure domain of the region. */
const OTHER_DOMAIN_RTT_MS = 2;

/** Round trip to another region. */
const OTHER_REGION_RTT_MS = 60;

/** Share of the service time that a full batch adds to it. */
const BATCH_SLOWDOWN_SHARE = 0.125;

/** Share of an attempt that the new one counts for, so that an idle upstream costs little. */
const NEW_ATTEMPT_SHARE = 0.5;

/** Share of the KV cache in use above which engines preempt sequences. */
const KV_PRESSURE_SHARE = 0.9;

/** Bounds of the measured slowdown of an upstream relative to the mean of its pool. */
const SLOWDOWN_MIN = 0.5;
const SLOWDOWN_MAX = 8;

/** Lower bound of the weight of an upstream, so that its marginal cost stays finite. */
const WEIGHT_MIN = 0.01;

/** Cost added for an upstream that would refuse as full, so that it comes after all others. */
const FULL_PENALTY_MS = 1_000_000;

/** Mean times over the upstreams of a pool that report them; 0 if none does. */
export interface PoolTimes {
  readonly serviceMs: number;
  readonly stepMs: number;
}

/** Cost factors of an upstream that stay the same between reports. */
export interface UpstreamCosts {
  readonly upstream: UpstreamState;
  /** Delay that one more attempt adds to each attempt of the batch. */
  readonly marginalMs: number;
  /** Attempts by which the engine is more loaded than its in-flight count shows. */
  readonly extraAttempts: number;
  /** Round-trip time to the upstream. */
  readonly networkMs: number;
}

function meanOfPositive(values: readonly number[]): number {
  const positive = values.filter((value) => value > 0);
  const sum = positive.reduce((total, value) => total + value, 0);
  return positive.length === 0 ? 0 : sum / positive.length;
}

/** Averages the reported times of a pool. */
export function averageTimes(upstreams: readonly UpstreamState[]): PoolTimes {
  return {
    serviceMs: meanOfPositive(upstreams.map(({ report }) => report?.serviceMs ?? 0)),
    stepMs: meanOfPositive(upstreams.map(({ report }) => report?.stepMs ?? 0)),
  };
}

/**
 * Computes the time of an upstream relative to the mean of its pool. Uses the step time if it is
 * reported, since whole answers vary in length.
 */
function computeSlowdown(upstream: UpstreamState, pool: PoolTimes): number {
  const { stepMs = 0, serviceMs = 0 } = upstream.report ?? {};
  const hasSteps = stepMs > 0 && pool.stepMs > 0;
  const ratio = hasSteps ? stepMs / pool.stepMs : serviceMs / pool.serviceMs;
  if (!Number.isFinite(ratio) || ratio <= 0) return 1;
  return Math.min(SLOWDOWN_MAX, Math.max(SLOWDOWN_MIN, ratio));
}

function estimateNetworkMs(board: EntryBoard, upstream: UpstreamState): number {
  if (upstream.domain === board.domain) return 0;
  const region = board.config.get(ConfigKind.Domain, upstream.domain)?.region;
  return region === board.region ? OTHER_DOMAIN_RTT_MS : OTHER_REGION_RTT_MS;
}

/** Counts extra load for queued requests and for a KV cache that is nearly full. */
function countExtraAttempts(upstream: UpstreamState): number {
  const { queued = 0, kvUsedShare = 0 } = upstream.report ?? {};
  const kvExcess = Math.max(0, kvUsedShare - KV_PRESSURE_SHARE) / (1 - KV_PRESSURE_SHARE);
  return queued + kvExcess * readLimit(upstream);
}

/**
 * Computes the cost factors of one upstream.
 *
 * @param weight share of its in-flight limit to use, 0 to 1
 */
export function computeCosts(
  board: EntryBoard,
  upstream: UpstreamState,
  weight: number,
  pool: PoolTimes,
): UpstreamCosts {
  const weightedLimit = Math.max(1, readLimit(upstream)) * Math.max(WEIGHT_MIN, weight);
  const serviceMs = (pool.serviceMs || DEFAULT_SERVICE_MS) * computeSlowdown(upstream, pool);
  return {
    upstream,
    marginalMs: (serviceMs * BATCH_SLOWDOWN_SHARE) / weightedLimit,
    extraAttempts: countExtraAttempts(upstream),
    networkMs: estimateNetworkMs(board, upstream),
  };
}

/**
 * Forecasts the cost of one more attempt.
 *
 * @param missingBlocks prompt blocks that the upstream has not cached and must compute
 */
export function forecastCostMs(costs: UpstreamCosts, missingBlocks: number): number {
  const load = readLoad(costs.upstream);
  const fullMs = load >= readLimit(costs.upstream) ? FULL_PENALTY_MS : 0;
  const batchMs = (load + NEW_ATTEMPT_SHARE + costs.extraAttempts) * costs.marginalMs;
  return fullMs + batchMs + missingBlocks * PREFILL_BLOCK_MS + costs.networkMs;
}
