/** Creates the refusals of one pool, each with a delay after which capacity is expected. */
import { refuseNotRun } from '../entry/refusal.js';
import { RetryAfterSchedule } from '../limits/retryAfterSchedule.js';
import { RefusalReason, type Refusal } from '../model/reason.js';
import type { Random } from '../ports/random.js';

/** Retry-After delay while no upstream is available, in milliseconds. */
const NO_UPSTREAM_RETRY_MS = 500;

/**
 * Retry-After delay while the pool's group is stalled, in milliseconds: a lost rank takes several
 * seconds to come back.
 */
const STALLED_RETRY_MS = 2_600;

/** Part of that delay over which retries are spread, so that they do not arrive all at once. */
const STALLED_SPREAD_FRACTION = 0.3;

/** Shortest Retry-After delay where capacity is short, in milliseconds. */
const RETRY_AFTER_MIN_MS = 300;

/** Creates refusals; all of them are of requests that have not run. */
export class PoolRefusals {
  readonly #pool: string;

  readonly #random: Random;

  readonly #returnTimes = new RetryAfterSchedule();

  constructor(pool: string, random: Random) {
    this.#pool = pool;
    this.#random = random;
  }

  /**
   * No capacity is expected in time.
   *
   * @param maxDelayMs longest Retry-After delay
   * @param intervalMs time between two admissions
   */
  createFull(maxDelayMs: number, intervalMs: number, nowMs: number): Refusal {
    const wantedMs = this.#returnTimes.choose(RETRY_AFTER_MIN_MS, intervalMs, nowMs);
    const detail = `pool ${this.#pool} has no capacity in time`;
    const retryAfterMs = Math.max(1, Math.min(wantedMs, maxDelayMs));
    return refuseNotRun(RefusalReason.QueueFull, retryAfterMs, detail);
  }

  /** The pool's group does not respond. */
  createStalled(maxDelayMs: number): Refusal {
    const latestMs = Math.min(STALLED_RETRY_MS, maxDelayMs);
    const spread = 1 - STALLED_SPREAD_FRACTION * this.#random.next();
    const retryAfterMs = Math.max(1, latestMs * spread);
    const detail = `pool ${this.#pool} is stalled`;
    return refuseNotRun(RefusalReason.PoolStalled, retryAfterMs, detail);
  }

  /**
   * All upstreams are backing off.
   *
   * @param backoffMs time until the first of them is available again
   */
  createBackingOff(
    backoffMs: number,
    maxDelayMs: number,
    intervalMs: number,
    nowMs: number,
  ): Refusal {
    const wantedMs = this.#returnTimes.choose(backoffMs, intervalMs, nowMs);
    const detail = `all upstreams of pool ${this.#pool} back off for ${Math.round(backoffMs)} ms`;
    const retryAfterMs = Math.max(1, Math.min(wantedMs, maxDelayMs));
    return refuseNotRun(RefusalReason.UpstreamFull, retryAfterMs, detail);
  }

  /** All upstreams are leaving, in closed failure domains, or gone. */
  createNoUpstream(): Refusal {
    const detail = `no upstream of pool ${this.#pool} is available`;
    return refuseNotRun(RefusalReason.NoUpstream, NO_UPSTREAM_RETRY_MS, detail);
  }
}
