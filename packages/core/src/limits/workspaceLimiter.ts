/**
 * Limits of workspaces: one token bucket for each workspace in each entry.
 *
 * Each entry fills its bucket with an equal share of the limit. What one entry does not need it can
 * lend to another, which takes the same tokens out here and puts them in there: the sum over all
 * entries stays that of one bucket with the whole limit. A bucket that has filled up again says no
 * more than no bucket, and is dropped.
 */
import type { Workspace } from '../config/object.js';

const MS_PER_SECOND = 1_000;

/** Number of buckets above which full ones are dropped. */
const BUCKETS_BEFORE_SWEEP = 1_024;

/** Time after which a request counts for 1/e in the demand. */
const DEMAND_DECAY_MS = 1_000;

/** Time for which an entry keeps tokens for its own demand. */
const KEPT_MS = 1_000;

interface Bucket {
  tokens: number;
  filledAtMs: number;
  ratePerMs: number;
  burst: number;
  /** Decayed count of requests. */
  requests: number;
}

function fill(bucket: Bucket, nowMs: number): void {
  const elapsedMs = Math.max(0, nowMs - bucket.filledAtMs);
  const room = Math.max(0, bucket.burst - bucket.tokens);
  Object.assign(bucket, {
    tokens: bucket.tokens + Math.min(room, elapsedMs * bucket.ratePerMs),
    requests: bucket.requests * Math.exp(-elapsedMs / DEMAND_DECAY_MS),
    filledAtMs: nowMs,
  });
}

function readDemandPerMs(bucket: Bucket): number {
  return bucket.requests / DEMAND_DECAY_MS;
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
    const bucket = this.#openBucket(workspace, entryCount, nowMs);
    bucket.requests += 1;
    if (bucket.tokens < 1) return Math.ceil((1 - bucket.tokens) / bucket.ratePerMs);
    bucket.tokens -= 1;
    return 0;
  }

  /** Tokens that the demand of a workspace asks for beyond what this entry has for it. */
  readShortage(workspace: Workspace, entryCount: number, nowMs: number): number {
    const bucket = this.#openBucket(workspace, entryCount, nowMs);
    const excessPerMs = readDemandPerMs(bucket) - bucket.ratePerMs;
    if (excessPerMs <= 0 && bucket.tokens >= 1) return 0;
    return Math.max(0, readDemandPerMs(bucket) * KEPT_MS - bucket.tokens);
  }

  /**
   * Gives tokens away that this entry does not need for its own demand.
   *
   * @returns tokens taken out, at most those wanted
   */
  lend(workspace: Workspace, entryCount: number, wanted: number, nowMs: number): number {
    const bucket = this.#openBucket(workspace, entryCount, nowMs);
    const spare = Math.max(0, bucket.tokens - readDemandPerMs(bucket) * KEPT_MS);
    const lent = Math.min(spare, wanted);
    bucket.tokens -= lent;
    return lent;
  }

  /** Takes tokens in that another entry has lent. */
  receive(workspace: Workspace, entryCount: number, tokens: number, nowMs: number): void {
    this.#openBucket(workspace, entryCount, nowMs).tokens += tokens;
  }

  #openBucket(workspace: Workspace, entryCount: number, nowMs: number): Bucket {
    const entries = Math.max(1, entryCount);
    const ratePerMs = workspace.requestsPerSecond / MS_PER_SECOND / entries;
    const burst = Math.max(1, workspace.burst / entries);
    const known = this.#buckets.get(workspace.name);
    if (known) {
      fill(known, nowMs);
      return Object.assign(known, { ratePerMs, burst });
    }
    if (this.#buckets.size >= this.#sweepAtSize) this.#sweep(nowMs);
    const bucket = { tokens: burst, filledAtMs: nowMs, ratePerMs, burst, requests: 0 };
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
