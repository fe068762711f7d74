/**
 * Keeps the request limit that an upstream names in its answers. The side process is the only
 * caller of its upstream, so the limit needs no exchange with others.
 *
 * Answers can overtake each other, so an answer without a limit ends one only if its request was
 * sent after the limit was last seen.
 */
import { TokenBucket } from '../limits/tokenBucket.js';
import type { NamedLimit } from '../model/namedLimit.js';

/** Time whose tokens can be saved; one can always be saved. */
const BURST_MS = 250;

/**
 * Rate at which an upstream is tried that takes fewer requests, per second. Only an answer shows
 * that a limit has ended.
 */
const TRIAL_PER_S = 0.1;

const MS_PER_SECOND = 1_000;

interface SeenLimit {
  readonly perS: number;
  readonly atMs: number;
  readonly bucket: TokenBucket;
}

/** Request limit of one upstream. */
export class RequestRateLimiter {
  #seen: SeenLimit | undefined;

  /** Requests per second that the upstream takes; undefined where it names no limit. */
  get perS(): number | undefined {
    return this.#seen?.perS;
  }

  /**
   * Applies what an answer says.
   *
   * @param sentAtMs when the request of the answer was sent
   */
  noteAnswer(named: NamedLimit, sentAtMs: number, nowMs: number): void {
    if (!named.ok) return;
    const perS = named.val;
    if (perS !== undefined) {
      const bucket = this.#seen?.bucket ?? new TokenBucket(0, nowMs);
      this.#seen = { perS, atMs: nowMs, bucket };
    } else if (this.#seen && sentAtMs > this.#seen.atMs) this.#seen = undefined;
  }

  /** Forgets the limit, as the upstream has restarted. */
  clear(): void {
    this.#seen = undefined;
  }

  /** Time in milliseconds until a request may be sent; 0 if it may be sent now. */
  readWaitMs(nowMs: number): number {
    if (!this.#seen) return 0;
    const { bucket } = this.#seen;
    const perMs = Math.max(this.#seen.perS, TRIAL_PER_S) / MS_PER_SECOND;
    bucket.refill(perMs, BURST_MS, nowMs);
    return Math.max(0, (1 - bucket.tokens) / perMs);
  }

  /** Records that a request is sent. */
  noteStart(nowMs: number): void {
    if (this.readWaitMs(nowMs) === 0) this.#seen?.bucket.take();
  }
}
