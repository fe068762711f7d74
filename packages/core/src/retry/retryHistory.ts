/** History of the failed attempts of one request, from which the next attempt is decided. */
import { Outcome, type RefusalReason } from '../model/reason.js';
import type { Result } from '../outcome.js';

import type { RetryPolicy } from './retryPolicy.js';

/**
 * Gate refusals after which each further attempt waits for a backoff, whether another upstream is
 * left or not.
 */
const QUICK_GATE_REFUSALS = 8;

/** An attempt that ended without an answer. */
export interface FailedAttempt {
  readonly upstream: string;
  readonly domain: string;
  readonly outcome: Outcome.NotRun | Outcome.Unknown;
  readonly isRepeatable: boolean;
  /** Whether the head of an answer has been written to the caller. */
  readonly isCommitted: boolean;
  /** Whether the upstream accepts no work now, as opposed to a failure. */
  readonly isGateRefusal: boolean;
}

/** Tracks the failed attempts of one request. */
export class RetryHistory {
  readonly #policy: RetryPolicy;

  readonly #excludedUpstreams = new Set<string>();

  readonly #avoidedDomains = new Set<string>();

  #gateRefusals = 0;

  #retries = 0;

  #mayHaveRun = false;

  constructor(policy: RetryPolicy) {
    this.#policy = policy;
  }

  /** Upstreams whose attempts have failed in the current round; they are not tried again in it. */
  get excludedUpstreams(): ReadonlySet<string> {
    return this.#excludedUpstreams;
  }

  /** Failure domains in which an attempt has failed; others are preferred. */
  get avoidedDomains(): ReadonlySet<string> {
    return this.#avoidedDomains;
  }

  /** Whether an attempt that has ended may have run. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  /** Whether the next attempt has to wait, as gates have refused the request many times. */
  get isBackoffDue(): boolean {
    return this.#gateRefusals >= QUICK_GATE_REFUSALS;
  }

  /**
   * Records a failed attempt and decides whether another one may follow.
   *
   * @param share share of the requests that may be retried
   * @param nowMs time by the runtime's clock
   * @returns nothing if another attempt may follow, else the reason why not
   */
  decide(failed: FailedAttempt, share: number, nowMs: number): Result<void, RefusalReason> {
    this.#mayHaveRun ||= failed.outcome === Outcome.Unknown;
    this.#excludedUpstreams.add(failed.upstream);
    if (failed.isGateRefusal) this.#gateRefusals += 1;
    else this.#avoidedDomains.add(failed.domain);
    const decision = this.#policy.decide(failed, this.#gateRefusals, share, nowMs);
    if (decision.ok && !failed.isGateRefusal) this.#retries += 1;
    return decision;
  }

  /**
   * Starts a new round in which all upstreams may be tried again.
   *
   * @param retryAfterMs retry-after hint from the last upstream; 0 if it gave none
   * @returns backoff in ms before the next attempt
   */
  startNextRound(retryAfterMs: number): number {
    this.#excludedUpstreams.clear();
    return this.#policy.computeBackoffMs(this.#gateRefusals + this.#retries, retryAfterMs);
  }
}
