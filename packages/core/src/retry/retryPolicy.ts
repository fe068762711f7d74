/**
 * Decides whether a failed attempt is retried, and after which backoff.
 *
 * A refusal by an upstream's admission gate costs the upstream nothing, so retrying it does not
 * draw on the retry budget, which is kept for failures. Such retries are limited per request, and
 * their backoff takes the gate's retry-after hint into account.
 */
import { Outcome, RefusalReason } from '../model/reason.js';
import { Err, Ok, type Result } from '../outcome.js';
import type { Random } from '../ports/random.js';

import { RetryBudget } from './retryBudget.js';

/**
 * Gate refusals after which a request is given up. With the backoffs that is after some 10 s, in
 * which a starting side process reads its engine's first report even on a busy machine.
 */
const GATE_REFUSAL_LIMIT = 16;

const BACKOFF_MIN_MS = 20;

const BACKOFF_MAX_MS = 1_000;

/** Keeps the exponential finite; 10 doublings of `BACKOFF_MIN_MS` exceed `BACKOFF_MAX_MS`. */
const MAX_BACKOFF_DOUBLINGS = 10;

/** Properties of a failed attempt that decide on its retry. */
export interface RetryQuery {
  readonly outcome: Outcome.NotRun | Outcome.Unknown;
  readonly isRepeatable: boolean;
  /** Whether the head of an answer has been written to the caller. */
  readonly isCommitted: boolean;
  /** Whether the upstream accepts no work now, as opposed to a failure. */
  readonly isGateRefusal: boolean;
}

/** Retry policy of one entry; all of its requests share one retry budget. */
export class RetryPolicy {
  readonly #budget = new RetryBudget();

  readonly #random: Random;

  constructor(random: Random) {
    this.#random = random;
  }

  /** Counts a request towards the budget. */
  noteRequest(nowMs: number): void {
    this.#budget.noteRequest(nowMs);
  }

  /**
   * Decides on a retry and, after a failure, takes it from the budget.
   *
   * @param gateRefusals gate refusals of this request, including this one
   * @param share share of the requests that may be retried
   * @param nowMs time by the runtime's clock
   * @returns nothing if the request may be retried, else the reason why not
   */
  decide(
    query: RetryQuery,
    gateRefusals: number,
    share: number,
    nowMs: number,
  ): Result<void, RefusalReason> {
    const isSafe = query.outcome === Outcome.NotRun || query.isRepeatable;
    if (!isSafe || query.isCommitted) return Err(RefusalReason.OutcomeUnknown);
    if (query.isGateRefusal) {
      return gateRefusals < GATE_REFUSAL_LIMIT ? Ok(undefined) : Err(RefusalReason.UpstreamFull);
    }
    if (this.#budget.take(share, nowMs)) return Ok(undefined);
    return Err(RefusalReason.RetryBudgetSpent);
  }

  /**
   * Whether a retry after a failure would be allowed now; takes nothing from the budget.
   *
   * @param share share of the requests that may be retried
   * @param nowMs time by the runtime's clock
   */
  canRetryFailure(share: number, nowMs: number): boolean {
    return this.#budget.canTake(share, nowMs);
  }

  /**
   * Computes the backoff in ms before the same upstreams are tried again, with random jitter.
   *
   * @param tries attempts so far
   * @param retryAfterMs retry-after hint from the upstream; 0 if it gave none
   */
  computeBackoffMs(tries: number, retryAfterMs: number): number {
    const exponentialMs = BACKOFF_MIN_MS * 2 ** Math.min(tries, MAX_BACKOFF_DOUBLINGS);
    const baseMs = Math.min(BACKOFF_MAX_MS, Math.max(exponentialMs, retryAfterMs));
    return Math.ceil(baseMs * (0.5 + this.#random.next()));
  }
}
