/**
 * Routing to the upstream at which one more attempt is forecast to cost least.
 *
 * Entries that see the same old reports would all choose the same upstream. Each therefore spreads
 * over the cheapest ones what others may have sent unseen. An entry without others takes the least.
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
import { drawOption, type Option } from './spread.js';
import { forecastMs, type UpstreamCosts } from './timeForecast.js';
import { findClosedReason, hasModel } from './upstreamState.js';
import type { WeightSource } from './weightSource.js';

/** Time after which a request that found no upstream is asked to come back. */
const NO_UPSTREAM_RETRY_MS = 1_000;

/** Prompt blocks remembered over all upstreams. */
const PREFIX_BLOCKS_KEPT = 32_768;

/** What routing needs. */
export interface ForecastRoutingOptions {
  readonly random: Random;
  readonly metrics: Metrics;
  /** Multiplied with each other. */
  readonly weights?: readonly WeightSource[];
  /** Prompt blocks remembered over all upstreams. */
  readonly prefixBlocks?: number;
}

interface Forecast extends Option {
  readonly upstream: UpstreamState;
}

/** What is remembered of a pool. */
interface PoolMemory {
  readonly costs: PoolCosts;
  readonly rate: ChoiceRate;
}

function isCandidate({ upstream }: UpstreamCosts, query: RoutingQuery): boolean {
  return !query.excludedUpstreams.has(upstream.name) && hasModel(upstream, query.model);
}

function listCandidates(costs: PoolCosts, query: RoutingQuery): readonly UpstreamCosts[] {
  const { excludedUpstreams, avoidedDomains, model } = query;
  const isOpenToAll = excludedUpstreams.size === 0 && model === undefined;
  const open = isOpenToAll ? costs.rows : costs.rows.filter((row) => isCandidate(row, query));
  if (avoidedDomains.size === 0) return open;
  const preferred = open.filter(({ upstream }) => !avoidedDomains.has(upstream.domain));
  return preferred.length > 0 ? preferred : open;
}

/** Attempts that others have sent since the reports, where each sends as many as this entry. */
function expectUnseen({ costs, rate }: PoolMemory, nowMs: number): number {
  return costs.otherEntries * rate.readPerMs(nowMs) * costs.readReportAgeMs(nowMs);
}

/** Forecasts that the cheapest one would reach if it took all expected attempts. */
function listReachable(
  candidates: readonly UpstreamCosts[],
  costsMs: readonly number[],
  attempts: number,
): readonly Forecast[] {
  const leastMs = Math.min(...costsMs);
  const cheapest = candidates[costsMs.indexOf(leastMs)];
  const limitMs = leastMs + attempts * (cheapest?.placeMs ?? 0);
  const reachable: Forecast[] = [];
  candidates.forEach(({ upstream, placeMs }, index) => {
    const costMs = costsMs[index] ?? 0;
    if (costMs <= limitMs) reachable.push({ upstream, placeMs, costMs });
  });
  return reachable;
}

/** Chooses by forecast cost. */
export class ForecastRouting extends RoutingPolicy {
  readonly #random: Random;

  readonly #weights: readonly WeightSource[];

  readonly #prefixes: PrefixView;

  readonly #pools = new Map<string, PoolMemory>();

  constructor(options: ForecastRoutingOptions) {
    super();
    this.#random = options.random;
    this.#weights = options.weights ?? [];
    this.#prefixes = new PrefixView(options.prefixBlocks ?? PREFIX_BLOCKS_KEPT, options.metrics);
  }

  override choose(board: EntryBoard, query: RoutingQuery, nowMs: number): Result<string, Refusal> {
    const pool = this.#openPool(query.pool);
    pool.costs.refresh(board, nowMs);
    let chosen = this.#draw(pool, query, nowMs);
    if (!chosen || findClosedReason(board, chosen)) {
      pool.costs.measure(board, nowMs);
      chosen = this.#draw(pool, query, nowMs);
    }
    if (!chosen) {
      const detail = `no upstream of pool ${query.pool} takes work`;
      return Err(refuseNotRun(RefusalReason.NoUpstream, NO_UPSTREAM_RETRY_MS, detail));
    }
    pool.rate.add(nowMs);
    return Ok(chosen.name);
  }

  override markSent(_board: EntryBoard, upstream: string, query: RoutingQuery): void {
    this.#prefixes.noteSent(upstream, query.prefixHashes);
  }

  override markEnded(): void {}

  override readCacheEvents(message: MessageOf<MessageType.CacheEvents>): void {
    this.#prefixes.readEvents(message);
  }

  #openPool(name: string): PoolMemory {
    const known = this.#pools.get(name);
    if (known) return known;
    const pool = { costs: new PoolCosts(name, this.#weights), rate: new ChoiceRate() };
    this.#pools.set(name, pool);
    return pool;
  }

  #draw(pool: PoolMemory, query: RoutingQuery, nowMs: number): UpstreamState | undefined {
    const candidates = listCandidates(pool.costs, query);
    const costsMs = this.#forecast(candidates, query.prefixHashes);
    const unseen = expectUnseen(pool, nowMs);
    const options = listReachable(candidates, costsMs, unseen);
    return drawOption(options, unseen, this.#random.next())?.upstream;
  }

  #forecast(
    candidates: readonly UpstreamCosts[],
    prefixHashes: readonly string[],
  ): readonly number[] {
    const blocks = prefixHashes.length;
    const isHeld = blocks > 0 && this.#prefixes.measure(prefixHashes);
    return candidates.map((costs) => {
      const depth = isHeld ? this.#prefixes.readDepth(costs.upstream.name) : 0;
      return forecastMs(costs, blocks - depth);
    });
  }
}
