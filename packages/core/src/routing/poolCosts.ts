/**
 * Cached costs of the upstreams of one pool, recomputed at most once in {@link VALID_MS}.
 *
 * Reports arrive no more often, and the load itself is read at each choice. An upstream that
 * becomes unavailable in between is detected when it is chosen.
 */
import type { EntryBoard, UpstreamState } from '../state/entryBoard.js';

import { computeCosts, averageTimes, type UpstreamCosts } from './costForecast.js';
import { findClosedReason } from './upstreamState.js';
import type { WeightSource } from './weightSource.js';

const VALID_MS = 250;

/** Upper bound of the report age from which unreported attempts are estimated. */
const REPORT_AGE_MAX_MS = 2_000;

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

function countOtherEntries(board: EntryBoard): number {
  return [...board.peers.values()].filter((peer) => peer.link?.isOpen).length;
}

/** Costs of the available upstreams of a pool. */
export class PoolCosts {
  readonly #pool: string;

  readonly #weights: readonly WeightSource[];

  #rows: readonly UpstreamCosts[] = [];

  #computedAtMs = Number.NEGATIVE_INFINITY;

  #reportedAtMs = 0;

  #otherEntries = 0;

  constructor(pool: string, weights: readonly WeightSource[]) {
    this.#pool = pool;
    this.#weights = weights;
  }

  /** Costs of each available upstream. */
  get rows(): readonly UpstreamCosts[] {
    return this.#rows;
  }

  /** Number of peers with an open link to this entry. */
  get otherEntries(): number {
    return this.#otherEntries;
  }

  /** Mean age of the upstreams' last reports. */
  readReportAgeMs(nowMs: number): number {
    return Math.min(REPORT_AGE_MAX_MS, Math.max(0, nowMs - this.#reportedAtMs));
  }

  /** Recomputes the costs if they are no longer valid. */
  refresh(board: EntryBoard, nowMs: number): void {
    const ageMs = nowMs - this.#computedAtMs;
    if (ageMs < 0 || ageMs >= VALID_MS || this.#rows.length === 0) this.recompute(board, nowMs);
  }

  /** Recomputes the costs from the board. */
  recompute(board: EntryBoard, nowMs: number): void {
    const upstreams = this.#listAvailable(board);
    const times = averageTimes(upstreams);
    this.#rows = upstreams.map((upstream) => {
      const weight = this.#readWeight(board, upstream, nowMs);
      return computeCosts(board, upstream, weight, times);
    });
    this.#reportedAtMs = mean(upstreams.map((upstream) => upstream.reportAtMs));
    this.#otherEntries = countOtherEntries(board);
    this.#computedAtMs = nowMs;
  }

  #listAvailable(board: EntryBoard): readonly UpstreamState[] {
    return [...board.upstreams.values()].filter(
      (upstream) => upstream.pool === this.#pool && !findClosedReason(board, upstream),
    );
  }

  #readWeight(board: EntryBoard, upstream: UpstreamState, nowMs: number): number {
    return this.#weights.reduce(
      (product, source) => product * source.readWeight(board, upstream, nowMs),
      1,
    );
  }
}
