/**
 * Decides whether an attempt is followed by another one, and when.
 *
 * Refusals at the gate of an upstream cost nothing there. They are bounded for each request and
 * spaced by the time that the gate names, and leave the budget for faults.
 */
import { Outcome, RefusalReason } from '../model/reason.js';
import { Err, Ok, type Result } from '../outcome.js';
import type { Random } from '../ports/random.js';

import { RetryBudget } from './retryBudget.js';

/** Refusals at gates that one request takes before it is given up. */
const GATE_REFUSAL_LIMIT = 8;

const BACKOFF_MIN_MS = 20;

const BACKOFF_MAX_MS = 1_000;

/** Doublings after which the backoff is at its longest whatever it began with. */
const MAX_BACKOFF_DOUBLINGS = 10;

/** How an attempt ended, as far as it matters for a retry. */
export interface RetryQuery {
  readonly outcome: Outcome.NotRun | Outcome.Unknown;
  readonly isRepeatable: boolean;
  /** Whether the caller has been given part of an answer. */
  readonly isCommitted: boolean;
  /** Whether the upstream takes no work now, rather than that something failed. */
  readonly isGateRefusal: boolean;
}

/** Retry decisions of one entry. */
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
   * Decides on a retry and takes it from the budget.
   *
   * @param gateRefusals refusals at gates of this request so far
   * @param share share of requests that may be retried
   * @param nowMs time by the runtime's clock
   * @returns nothing where the request may be tried again, else why not
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
   * Time to wait before the same upstreams are tried again.
   *
   * @param tries tries so far
   * @param retryAfterMs time that the upstream asked for; 0 where it named none
   */
  computeBackoffMs(tries: number, retryAfterMs: number): number {
    const exponentialMs = BACKOFF_MIN_MS * 2 ** Math.min(tries, MAX_BACKOFF_DOUBLINGS);
    const baseMs = Math.min(BACKOFF_MAX_MS, Math.max(exponentialMs, retryAfterMs));
    return Math.ceil(baseMs * (0.5 + this.#random.next()));
  }
}
