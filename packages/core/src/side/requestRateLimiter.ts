/**
 * Keeps the request limit that an upstream names in its answers. The side process is the only
 * caller of its upstream, so the limit needs no exchange with others.
 *
 * Answers can overtake each other, so an answer without a limit ends one only if its request was
 * sent after the limit was last seen.
 */
import { computeTokensPerMs, refillForLimit } from '../limits/limitRate.js';
import { TokenBucket } from '../limits/tokenBucket.js';
import type { NamedLimit } from '../model/namedLimit.js';

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
    refillForLimit(bucket, this.#seen.perS, 1, nowMs);
    return Math.max(0, (1 - bucket.tokens) / computeTokensPerMs(this.#seen.perS));
  }

  /** Records that a request is sent. */
  noteStart(nowMs: number): void {
    if (this.readWaitMs(nowMs) === 0) this.#seen?.bucket.take();
  }
}
