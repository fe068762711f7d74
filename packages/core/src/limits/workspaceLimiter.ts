/**
 * Limits of workspaces: one token bucket for each workspace in each entry.
 *
 * Each entry takes an equal share of the limit, by the number of entries that it counts as live.
 * A bucket that has filled up again says no more than no bucket, and is dropped.
 */
import type { Workspace } from '../config/object.js';

const MS_PER_SECOND = 1_000;

/** Number of buckets above which full ones are dropped. */
const BUCKETS_BEFORE_SWEEP = 1_024;

interface Bucket {
  tokens: number;
  filledAtMs: number;
  ratePerMs: number;
  burst: number;
}

function fill(bucket: Bucket, nowMs: number): void {
  const gained = Math.max(0, nowMs - bucket.filledAtMs) * bucket.ratePerMs;
  Object.assign(bucket, {
    tokens: Math.min(bucket.burst, bucket.tokens + gained),
    filledAtMs: nowMs,
  });
}

/** Token buckets by workspace. */
export class WorkspaceLimiter {
  readonly #buckets = new Map<string, Bucket>();

  #sweepAtSize = BUCKETS_BEFORE_SWEEP;

  /** Buckets held now. */
  get size(): number {
    return this.#buckets.size;
  }

  /**
   * Takes one request's token.
   *
   * @param entryCount entries that share the limit, this one included
   * @param nowMs time by the runtime's clock
   * @returns 0 where a token was taken, else the time after which there will be one
   */
  take(workspace: Workspace, entryCount: number, nowMs: number): number {
    const bucket = this.#openBucket(workspace, Math.max(1, entryCount), nowMs);
    fill(bucket, nowMs);
    if (bucket.tokens < 1) return Math.ceil((1 - bucket.tokens) / bucket.ratePerMs);
    bucket.tokens -= 1;
    return 0;
  }

  #openBucket(workspace: Workspace, entryCount: number, nowMs: number): Bucket {
    const ratePerMs = workspace.requestsPerSecond / MS_PER_SECOND / entryCount;
    const burst = Math.max(1, workspace.burst / entryCount);
    const known = this.#buckets.get(workspace.name);
    if (known) return Object.assign(known, { ratePerMs, burst });

    if (this.#buckets.size >= this.#sweepAtSize) this.#sweep(nowMs);
    const bucket = { tokens: burst, filledAtMs: nowMs, ratePerMs, burst };
    this.#buckets.set(workspace.name, bucket);
    return bucket;
  }

  #sweep(nowMs: number): void {
    this.#buckets.forEach((bucket, name) => {
      fill(bucket, nowMs);
      if (bucket.tokens >= bucket.burst) this.#buckets.delete(name);
    });
    this.#sweepAtSize = Math.max(BUCKETS_BEFORE_SWEEP, this.#buckets.size * 2);
  }
}
