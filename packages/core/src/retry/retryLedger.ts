/** What one request remembers of its attempts, for the choice of the next one. */
import { Outcome, type RefusalReason } from '../model/reason.js';
import type { Result } from '../outcome.js';

import type { RetryPolicy } from './retryPolicy.js';

/** An attempt that ended without an answer. */
export interface FailedAttempt {
  readonly upstream: string;
  readonly domain: string;
  readonly outcome: Outcome.NotRun | Outcome.Unknown;
  readonly isRepeatable: boolean;
  /** Whether the caller has been given part of an answer. */
  readonly isCommitted: boolean;
  /** Whether the upstream takes no work now, rather than that something failed. */
  readonly isGateRefusal: boolean;
}

/** Failed attempts of one request. */
export class RetryLedger {
  readonly #policy: RetryPolicy;

  readonly #excludedUpstreams = new Set<string>();

  readonly #avoidedDomains = new Set<string>();

  #gateRefusals = 0;

  #retries = 0;

  #mayHaveRun = false;

  constructor(policy: RetryPolicy) {
    this.#policy = policy;
  }

  /** Upstreams that have refused since all of them were last tried. */
  get excludedUpstreams(): ReadonlySet<string> {
    return this.#excludedUpstreams;
  }

  /** Failure domains in which an attempt has failed. */
  get avoidedDomains(): ReadonlySet<string> {
    return this.#avoidedDomains;
  }

  /** Whether an attempt that is over may have run. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  /**
   * Notes a failed attempt and decides whether another one may follow.
   *
   * @param share share of requests that may be retried
   * @param nowMs time by the runtime's clock
   * @returns nothing where another attempt may follow, else why not
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
   * Lets the same upstreams be tried again.
   *
   * @param retryAfterMs time that the last upstream asked for; 0 where it named none
   * @returns time to wait before
   */
  restart(retryAfterMs: number): number {
    this.#excludedUpstreams.clear();
    return this.#policy.computeBackoffMs(this.#gateRefusals + this.#retries, retryAfterMs);
  }
}
