/** Metrics of predicted costs and of the work left at the upstreams of one pool. */
import type { Metrics } from '../../ports/metrics.js';
import type { DirectUpstream } from '../directUpstream.js';
import type { FleetBoard } from '../fleetBoard.js';

import type { DecayedQuantiles } from './decayedQuantiles.js';
import type { HoldingTimes } from './holdingTimes.js';
import type { PoolCost } from './poolCost.js';

/** Quantiles of observed over predicted work that are told. */
const ERROR_QUANTILES: readonly number[] = [0.1, 0.5, 0.9];

/** Upstreams over which the spread is told, as it is measured for each anew. */
const UPSTREAMS_MAX = 128;

export interface CostReport {
  readonly metrics: Metrics;
  readonly board: FleetBoard;
  readonly pool: string;
  readonly cost: PoolCost;
  readonly nowMs: number;
}

function gaugeErrors(metrics: Metrics, pool: string, errors: DecayedQuantiles): void {
  ERROR_QUANTILES.forEach((fraction) => {
    const ratio = errors.readQuantile(fraction);
    if (ratio !== undefined) metrics.gauge('cost.error', ratio, { pool, q: String(fraction) });
  });
}

/** Writes the metrics of a pool of plain services, at most once in a second. */
export function reportHoldingTimes(
  metrics: Metrics,
  pool: string,
  times: HoldingTimes,
  nowMs: number,
): void {
  if (times.reports.take(nowMs)) gaugeErrors(metrics, pool, times.errors);
}

/** Writes the metrics of one pool of engines, at most once in a second. */
export function reportCosts({ metrics, board, pool, cost, nowMs }: CostReport): void {
  if (!cost.reports.take(nowMs)) return;
  gaugeErrors(metrics, pool, cost.errors);
  const view = {
    passMs: board.getActivity(pool).meanPauseMs,
    peers: board.livePeers.size,
    countLoad: (upstream: DirectUpstream) => board.countLoad(upstream, nowMs),
    nowMs,
  };
  const leftMs = board
    .listPool(pool)
    .slice(0, UPSTREAMS_MAX)
    .map((upstream) => cost.readLeft(upstream, view).decodeMs);
  if (leftMs.length === 0) return;
  const meanMs = leftMs.reduce((sum, each) => sum + each, 0) / leftMs.length;
  metrics.gauge('upstream.work.mean', meanMs, { pool });
  metrics.gauge('upstream.work.most', Math.max(...leftMs), { pool });
}
