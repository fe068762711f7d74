/**
 * Rate limits of workspaces: one token bucket per workspace in each entry.
 *
 * Each entry refills its bucket with an equal share of the limit. An entry can lend tokens that it
 * does not need to another entry: they leave the lender's bucket and are added to the borrower's,
 * so that all buckets together admit as much as one bucket with the whole limit. A full bucket
 * holds no information that a new one would not, and is deleted.
 */
import type { Workspace } from '../config/object.js';

const MS_PER_SECOND = 1_000;

/** Number of buckets above which full ones are deleted. */
const BUCKETS_BEFORE_SWEEP = 1_024;

/** Time after which a request counts for 1/e in the measured demand. */
const DEMAND_DECAY_MS = 1_000;

/** Time for which an entry reserves tokens for its own demand. */
const RESERVED_DEMAND_MS = 1_000;

interface Bucket {
  tokens: number;
  refilledAtMs: number;
  ratePerMs: number;
  burst: number;
  /** Exponentially decayed count of requests. */
  requests: number;
}

function refill(bucket: Bucket, nowMs: number): void {
  const elapsedMs = Math.max(0, nowMs - bucket.refilledAtMs);
  const missingTokens = Math.max(0, bucket.burst - bucket.tokens);
  Object.assign(bucket, {
    tokens: bucket.tokens + Math.min(missingTokens, elapsedMs * bucket.ratePerMs),
    requests: bucket.requests * Math.exp(-elapsedMs / DEMAND_DECAY_MS),
    refilledAtMs: nowMs,
  });
}

function readDemandPerMs(bucket: Bucket): number {
  return bucket.requests / DEMAND_DECAY_MS;
}

/** Limits the request rate of workspaces by token buckets. */
export class WorkspaceLimiter {
  readonly #buckets = new Map<string, Bucket>();

  #sweepAtSize = BUCKETS_BEFORE_SWEEP;

  /** Number of buckets in memory. */
  get size(): number {
    return this.#buckets.size;
  }

  /**
   * Takes the token for one request.
   *
   * @param entryCount entries that share the limit, including this one
   * @param nowMs current time by the runtime's clock
   * @returns 0 if a token was taken, otherwise the time in milliseconds until one is available
   */
  take(workspace: Workspace, entryCount: number, nowMs: number): number {
    const bucket = this.#refreshBucket(workspace, entryCount, nowMs);
    bucket.requests += 1;
    if (bucket.tokens < 1) return Math.ceil((1 - bucket.tokens) / bucket.ratePerMs);
    bucket.tokens -= 1;
    return 0;
  }

  /** Tokens that the measured demand of a workspace needs beyond those in this entry's bucket. */
  readShortage(workspace: Workspace, entryCount: number, nowMs: number): number {
    const bucket = this.#refreshBucket(workspace, entryCount, nowMs);
    const excessPerMs = readDemandPerMs(bucket) - bucket.ratePerMs;
    if (excessPerMs <= 0 && bucket.tokens >= 1) return 0;
    return Math.max(0, readDemandPerMs(bucket) * RESERVED_DEMAND_MS - bucket.tokens);
  }

  /**
   * Takes tokens that this entry does not need for its own demand out of the bucket.
   *
   * @returns number of tokens taken out, at most `wanted`
   */
  lend(workspace: Workspace, entryCount: number, wanted: number, nowMs: number): number {
    const bucket = this.#refreshBucket(workspace, entryCount, nowMs);
    const spare = Math.max(0, bucket.tokens - readDemandPerMs(bucket) * RESERVED_DEMAND_MS);
    const lent = Math.min(spare, wanted);
    bucket.tokens -= lent;
    return lent;
  }

  /** Adds tokens that another entry has lent. */
  receive(workspace: Workspace, entryCount: number, tokens: number, nowMs: number): void {
    this.#refreshBucket(workspace, entryCount, nowMs).tokens += tokens;
  }

  #refreshBucket(workspace: Workspace, entryCount: number, nowMs: number): Bucket {
    const entries = Math.max(1, entryCount);
    const ratePerMs = workspace.requestsPerSecond / MS_PER_SECOND / entries;
    const burst = Math.max(1, workspace.burst / entries);
    const known = this.#buckets.get(workspace.name);
    if (known) {
      refill(known, nowMs);
      return Object.assign(known, { ratePerMs, burst });
    }
    if (this.#buckets.size >= this.#sweepAtSize) this.#sweep(nowMs);
    const bucket = { tokens: burst, refilledAtMs: nowMs, ratePerMs, burst, requests: 0 };
    this.#buckets.set(workspace.name, bucket);
    return bucket;
  }

  #sweep(nowMs: number): void {
    this.#buckets.forEach((bucket, name) => {
      refill(bucket, nowMs);
      if (bucket.tokens >= bucket.burst) this.#buckets.delete(name);
    });
    this.#sweepAtSize = Math.max(BUCKETS_BEFORE_SWEEP, this.#buckets.size * 2);
  }
}
