/**
 * Routing to the upstream with the lowest forecast cost of one more attempt.
 *
 * Entries with the same outdated reports would all choose the same upstream. Each entry therefore
 * estimates the attempts that its peers have sent since the reports, and chooses at random among
 * the cheapest upstreams over which these would spread. An entry without peers always chooses the
 * cheapest one.
 */
import { refuseNotRun } from '../entry/refusal.js';
import type { MessageOf, MessageType } from '../messages/message.js';
import { RefusalReason, type Refusal } from '../model/reason.js';
import { Err, Ok, type Result } from '../outcome.js';
import type { Metrics } from '../ports/metrics.js';
import type { Random } from '../ports/random.js';
import type { EntryBoard, UpstreamState } from '../state/entryBoard.js';

import { ChoiceRate } from './choiceRate.js';
import { PoolCosts } from './poolCosts.js';
import { PrefixView } from './prefixView.js';
import { RoutingPolicy, type RoutingQuery } from './routingPolicy.js';
import { drawOption, type SpreadOption } from './spread.js';
import { forecastCostMs, type UpstreamCosts } from './costForecast.js';
import { findClosedReason, hasModel } from './upstreamState.js';
import type { WeightSource } from './weightSource.js';

/** Delay after which a request that found no available upstream should be retried. */
const NO_UPSTREAM_RETRY_MS = 1_000;

/** Capacity of the prefix index in prompt blocks, over all upstreams. */
const PREFIX_BLOCKS_KEPT = 32_768;

/** Dependencies and settings of {@link ForecastRouting}. */
export interface ForecastRoutingOptions {
  readonly random: Random;
  readonly metrics: Metrics;
  /** Sources of weights; the weights of an upstream are multiplied. */
  readonly weights?: readonly WeightSource[];
  /** Capacity of the prefix index in prompt blocks, over all upstreams. */
  readonly prefixBlocks?: number;
}

interface CostForecast extends SpreadOption {
  readonly upstream: UpstreamState;
}

/** Routing state of one pool. */
interface PoolState {
  readonly costs: PoolCosts;
  readonly rate: ChoiceRate;
}

function isCandidate({ upstream }: UpstreamCosts, query: RoutingQuery): boolean {
  return !query.excludedUpstreams.has(upstream.name) && hasModel(upstream, query.model);
}

function listCandidates(costs: PoolCosts, query: RoutingQuery): readonly UpstreamCosts[] {
  const { excludedUpstreams, avoidedDomains, model } = query;
  const isUnfiltered = excludedUpstreams.size === 0 && model === undefined;
  const eligible = isUnfiltered ? costs.rows : costs.rows.filter((row) => isCandidate(row, query));
  if (avoidedDomains.size === 0) return eligible;
  const preferred = eligible.filter(({ upstream }) => !avoidedDomains.has(upstream.domain));
  return preferred.length > 0 ? preferred : eligible;
}

/**
 * Estimates the attempts that peers have sent since the last reports, assuming that each sends at
 * the rate of this entry.
 */
function estimateUnreported({ costs, rate }: PoolState, nowMs: number): number {
  return costs.otherEntries * rate.readPerMs(nowMs) * costs.readReportAgeMs(nowMs);
}

/** Lists the upstreams whose cost the cheapest one would reach if it got all given attempts. */
function listReachable(
  candidates: readonly UpstreamCosts[],
  costsMs: readonly number[],
  attempts: number,
): readonly CostForecast[] {
  const leastMs = Math.min(...costsMs);
  const cheapest = candidates[costsMs.indexOf(leastMs)];
  const limitMs = leastMs + attempts * (cheapest?.marginalMs ?? 0);
  const reachable: CostForecast[] = [];
  candidates.forEach(({ upstream, marginalMs }, index) => {
    const costMs = costsMs[index] ?? 0;
    if (costMs <= limitMs) reachable.push({ upstream, marginalMs, costMs });
  });
  return reachable;
}

/** Chooses the upstream by the forecast cost of one more attempt. */
export class ForecastRouting extends RoutingPolicy {
  readonly #random: Random;

  readonly #weights: readonly WeightSource[];

  readonly #prefixes: PrefixView;

  readonly #pools = new Map<string, PoolState>();

  constructor(options: ForecastRoutingOptions) {
    super();
    this.#random = options.random;
    this.#weights = options.weights ?? [];
    this.#prefixes = new PrefixView(options.prefixBlocks ?? PREFIX_BLOCKS_KEPT, options.metrics);
  }

  override choose(board: EntryBoard, query: RoutingQuery, nowMs: number): Result<string, Refusal> {
    const pool = this.#getOrCreatePool(query.pool);
    pool.costs.refresh(board, nowMs);
    let chosen = this.#draw(pool, query, nowMs);
    if (!chosen || findClosedReason(board, chosen)) {
      pool.costs.recompute(board, nowMs);
      chosen = this.#draw(pool, query, nowMs);
    }
    if (!chosen) {
      const detail = `no upstream of pool ${query.pool} accepts requests`;
      return Err(refuseNotRun(RefusalReason.NoUpstream, NO_UPSTREAM_RETRY_MS, detail));
    }
    pool.rate.add(nowMs);
    return Ok(chosen.name);
  }

  override markSent(_board: EntryBoard, upstream: string, query: RoutingQuery): void {
    this.#prefixes.recordSent(upstream, query.prefixHashes);
  }

  override markEnded(): void {}

  override applyCacheEvents(message: MessageOf<MessageType.CacheEvents>): void {
    this.#prefixes.applyEvents(message);
  }

  #getOrCreatePool(name: string): PoolState {
    const known = this.#pools.get(name);
    if (known) return known;
    const pool = { costs: new PoolCosts(name, this.#weights), rate: new ChoiceRate() };
    this.#pools.set(name, pool);
    return pool;
  }

  #draw(pool: PoolState, query: RoutingQuery, nowMs: number): UpstreamState | undefined {
    const candidates = listCandidates(pool.costs, query);
    const costsMs = this.#forecastCosts(candidates, query.prefixHashes);
    const unreported = estimateUnreported(pool, nowMs);
    const options = listReachable(candidates, costsMs, unreported);
    return drawOption(options, unreported, this.#random.next())?.upstream;
  }

  #forecastCosts(
    candidates: readonly UpstreamCosts[],
    prefixHashes: readonly string[],
  ): readonly number[] {
    const blocks = prefixHashes.length;
    const isHeld = blocks > 0 && this.#prefixes.measureDepths(prefixHashes);
    return candidates.map((costs) => {
      const depth = isHeld ? this.#prefixes.readDepth(costs.upstream.name) : 0;
      return forecastCostMs(costs, blocks - depth);
    });
  }
}
