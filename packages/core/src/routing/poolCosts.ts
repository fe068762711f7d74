/**
 * Costs of the upstreams of one pool, measured anew at most once in {@link VALID_MS}.
 *
 * Reports come no more often, and the load itself is read at each choice. An upstream that closes
 * in between is found out by whoever chooses it.
 */
import type { EntryBoard, UpstreamState } from '../state/entryBoard.js';

import { measureCosts, measurePool, type UpstreamCosts } from './timeForecast.js';
import { findClosedReason } from './upstreamState.js';
import type { WeightSource } from './weightSource.js';

const VALID_MS = 250;

/** Bound of the report age for which unseen attempts are estimated. */
const REPORT_AGE_MAX_MS = 2_000;

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

function countOtherEntries(board: EntryBoard): number {
  return [...board.peers.values()].filter((peer) => peer.link?.isOpen).length;
}

/** Costs of the upstreams of a pool that take work. */
export class PoolCosts {
  readonly #pool: string;

  readonly #weights: readonly WeightSource[];

  #rows: readonly UpstreamCosts[] = [];

  #measuredAtMs = Number.NEGATIVE_INFINITY;

  #reportedAtMs = 0;

  #otherEntries = 0;

  constructor(pool: string, weights: readonly WeightSource[]) {
    this.#pool = pool;
    this.#weights = weights;
  }

  /** Costs by upstream. */
  get rows(): readonly UpstreamCosts[] {
    return this.#rows;
  }

  /** Entries with a link to this one. */
  get otherEntries(): number {
    return this.#otherEntries;
  }

  /** Mean time since the reports. */
  readReportAgeMs(nowMs: number): number {
    return Math.min(REPORT_AGE_MAX_MS, Math.max(0, nowMs - this.#reportedAtMs));
  }

  /** Measures the costs where they are no longer valid. */
  refresh(board: EntryBoard, nowMs: number): void {
    const ageMs = nowMs - this.#measuredAtMs;
    if (ageMs < 0 || ageMs >= VALID_MS || this.#rows.length === 0) this.measure(board, nowMs);
  }

  /** Measures the costs. */
  measure(board: EntryBoard, nowMs: number): void {
    const upstreams = this.#listOpen(board);
    const times = measurePool(upstreams);
    this.#rows = upstreams.map((upstream) => {
      const weight = this.#readWeight(board, upstream, nowMs);
      return measureCosts(board, upstream, weight, times);
    });
    this.#reportedAtMs = mean(upstreams.map((upstream) => upstream.reportAtMs));
    this.#otherEntries = countOtherEntries(board);
    this.#measuredAtMs = nowMs;
  }

  #listOpen(board: EntryBoard): readonly UpstreamState[] {
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
