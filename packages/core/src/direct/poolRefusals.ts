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
const STALLED_SPREAD = 0.3;

/** Earliest time at which a refused request is asked to come back. */
const RETURN_MIN_MS = 300;

/** Writes refusals; all are truly not run. */
export class PoolRefusals {
  readonly #pool: string;

  readonly #random: Random;

  readonly #returns = new ReturnTimes();

  constructor(pool: string, random: Random) {
    this.#pool = pool;
    this.#random = random;
  }

  /**
   * There is no room in time.
   *
   * @param returnLimitMs longest time after which the caller can be asked to come back
   * @param turnMs time between two turns
   */
  full(returnLimitMs: number, turnMs: number, nowMs: number): Refusal {
    const wantedMs = this.#returns.choose(RETURN_MIN_MS, turnMs, nowMs);
    const detail = `pool ${this.#pool} has no room in time`;
    const retryAfterMs = Math.max(1, Math.min(wantedMs, returnLimitMs));
    return refuseNotRun(RefusalReason.QueueFull, retryAfterMs, detail);
  }

  /** The pool's group answers nobody. */
  stalled(returnLimitMs: number): Refusal {
    const latestMs = Math.min(STALLED_RETRY_MS, returnLimitMs);
    const spread = 1 - STALLED_SPREAD * this.#random.next();
    const retryAfterMs = Math.max(1, latestMs * spread);
    const detail = `pool ${this.#pool} has stalled`;
    return refuseNotRun(RefusalReason.PoolStalled, retryAfterMs, detail);
  }

  /**
   * All upstreams have asked to be left alone for a while.
   *
   * @param restMs time until the first of them takes work again
   */
  resting(restMs: number, returnLimitMs: number, turnMs: number, nowMs: number): Refusal {
    const wantedMs = this.#returns.choose(restMs, turnMs, nowMs);
    const detail = `all upstreams of pool ${this.#pool} want no work for ${Math.round(restMs)} ms`;
    const retryAfterMs = Math.max(1, Math.min(wantedMs, returnLimitMs));
    return refuseNotRun(RefusalReason.UpstreamFull, retryAfterMs, detail);
  }

  /** All upstreams are leaving, closed or gone. */
  empty(): Refusal {
    const detail = `no upstream of pool ${this.#pool} takes work`;
    return refuseNotRun(RefusalReason.NoUpstream, NO_UPSTREAM_RETRY_MS, detail);
  }
}
