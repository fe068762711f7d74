/** Refusals of one pool, each with the time at which there will be room. */
import { refuseNotRun } from '../entry/refusal.js';
import { ReturnTimes } from '../limits/returnTimes.js';
import { RefusalReason, type Refusal } from '../model/reason.js';
import type { Random } from '../ports/random.js';

/** Time after which a request is asked to come back where no upstream takes work. */
const NO_UPSTREAM_RETRY_MS = 500;

/** The same where the pool's group has stalled: a lost rank takes some seconds to come back. */
const STALLED_RETRY_MS = 2_600;

/** Part of that by which the returns are spread, so that they do not come all at once. */
const STALLED_SPREAD_FRACTION = 0.3;

/** Earliest time at which a refused request is asked to come back. */
const RETRY_AFTER_MIN_MS = 300;

/** Writes refusals; all are truly not run. */
export class PoolRefusals {
  readonly #pool: string;

  readonly #random: Random;

  readonly #returnTimes = new ReturnTimes();

  constructor(pool: string, random: Random) {
    this.#pool = pool;
    this.#random = random;
  }

  /**
   * There is no room in time.
   *
   * @param maxDelayMs longest time after which the caller can be asked to come back
   * @param intervalMs time between two turns
   */
  createFull(maxDelayMs: number, intervalMs: number, nowMs: number): Refusal {
    const wantedMs = this.#returnTimes.choose(RETRY_AFTER_MIN_MS, intervalMs, nowMs);
    const detail = `pool ${this.#pool} has no room in time`;
    const retryAfterMs = Math.max(1, Math.min(wantedMs, maxDelayMs));
    return refuseNotRun(RefusalReason.QueueFull, retryAfterMs, detail);
  }

  /** The pool's group answers nobody. */
  createStalled(maxDelayMs: number): Refusal {
    const latestMs = Math.min(STALLED_RETRY_MS, maxDelayMs);
    const spread = 1 - STALLED_SPREAD_FRACTION * this.#random.next();
    const retryAfterMs = Math.max(1, latestMs * spread);
    const detail = `pool ${this.#pool} has stalled`;
    return refuseNotRun(RefusalReason.PoolStalled, retryAfterMs, detail);
  }

  /**
   * All upstreams have asked to be left alone for a while.
   *
   * @param backoffMs time until the first of them takes work again
   */
  createBackingOff(
    backoffMs: number,
    maxDelayMs: number,
    intervalMs: number,
    nowMs: number,
  ): Refusal {
    const wantedMs = this.#returnTimes.choose(backoffMs, intervalMs, nowMs);
    const detail = `all upstreams of pool ${this.#pool} want no work for ${Math.round(backoffMs)} ms`;
    const retryAfterMs = Math.max(1, Math.min(wantedMs, maxDelayMs));
    return refuseNotRun(RefusalReason.UpstreamFull, retryAfterMs, detail);
  }

  /** All upstreams are leaving, closed or gone. */
  createNoUpstream(): Refusal {
    const detail = `no upstream of pool ${this.#pool} takes work`;
    return refuseNotRun(RefusalReason.NoUpstream, NO_UPSTREAM_RETRY_MS, detail);
  }
}
