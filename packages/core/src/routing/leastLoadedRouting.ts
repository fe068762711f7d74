/**
 * Routing to the upstream with the lowest load relative to its in-flight limit.
 *
 * The reported load lags, so it is corrected by the attempts that this entry has in flight.
 */
import { refuseNotRun } from '../entry/refusal.js';
import { RefusalReason, type Refusal } from '../model/reason.js';
import { Err, Ok, type Result } from '../outcome.js';
import type { Random } from '../ports/random.js';
import type { EntryBoard, UpstreamState } from '../state/entryBoard.js';

import { RoutingPolicy, type RoutingQuery } from './routingPolicy.js';
import { findClosedReason, hasModel, readLimit, readLoad } from './upstreamState.js';

/** Delay after which a request that found no available upstream should be retried. */
const NO_UPSTREAM_RETRY_MS = 1_000;

/** Chooses the least loaded upstream. */
export class LeastLoadedRouting extends RoutingPolicy {
  readonly #random: Random;

  /** Sequence number of the last attempt sent to each upstream. */
  readonly #lastSent = new Map<string, number>();

  #sequence = 0;

  constructor(random: Random) {
    super();
    this.#random = random;
  }

  override choose(board: EntryBoard, query: RoutingQuery): Result<string, Refusal> {
    const available = [...board.upstreams.values()].filter(
      (upstream) =>
        upstream.pool === query.pool &&
        !query.excludedUpstreams.has(upstream.name) &&
        hasModel(upstream, query.model) &&
        findClosedReason(board, upstream) === undefined,
    );
    const preferred = available.filter((upstream) => !query.avoidedDomains.has(upstream.domain));
    const chosen = this.#chooseLeast(preferred.length > 0 ? preferred : available);
    if (chosen) return Ok(chosen.name);
    const detail = `no upstream of pool ${query.pool} accepts requests`;
    return Err(refuseNotRun(RefusalReason.NoUpstream, NO_UPSTREAM_RETRY_MS, detail));
  }

  override markSent(_board: EntryBoard, upstream: string): void {
    this.#sequence += 1;
    this.#lastSent.set(upstream, this.#sequence);
  }

  override markEnded(): void {}

  override applyCacheEvents(): void {}

  /**
   * Among equally loaded upstreams, chooses a random one that this entry has not used yet, or else
   * the least recently used one.
   */
  #chooseLeast(candidates: readonly UpstreamState[]): UpstreamState | undefined {
    const shares = candidates.map((upstream) => (readLoad(upstream) + 1) / readLimit(upstream));
    const least = Math.min(...shares);
    const equals = candidates.filter((_, index) => shares[index] === least);
    const unused = equals.filter((upstream) => !this.#lastSent.has(upstream.name));
    if (unused.length > 0) return unused[this.#random.nextInt(unused.length)];
    return equals.sort((a, b) => this.#readLastSent(a) - this.#readLastSent(b))[0];
  }

  #readLastSent(upstream: UpstreamState): number {
    return this.#lastSent.get(upstream.name) ?? 0;
  }
}
