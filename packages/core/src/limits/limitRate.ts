/** Rate at which requests are sent to an upstream that names a request limit. */
import type { TokenBucket } from './tokenBucket.js';

/** Time whose tokens a bucket holds; it always holds at least one. */
const BURST_MS = 250;

/**
 * Rate at which an upstream is tried that takes fewer requests, per second. Only an answer shows
 * that a limit has ended.
 */
const TRIAL_PER_S = 0.1;

const MS_PER_SECOND = 1_000;

/** Converts a request limit to tokens per millisecond. */
export function computeTokensPerMs(perS: number): number {
  return Math.max(perS, TRIAL_PER_S) / MS_PER_SECOND;
}

/**
 * Adds the tokens that have accrued for a request limit.
 *
 * @param share part of the limit that the bucket issues
 */
export function refillForLimit(
  bucket: TokenBucket,
  perS: number,
  share: number,
  nowMs: number,
): void {
  bucket.refill(computeTokensPerMs(perS) * share, BURST_MS, nowMs);
}
