/** Whether, and where, a request is sent again after an attempt that failed. */
import type { RetryReason } from '../model/reason.js';
import { Err, Ok, type Result } from '../outcome.js';
import type { ForwardedRequest } from '../ports/upstreamCaller.js';

import type { AnswerBuilder } from './answerBuilder.js';
import type { AttemptFailure } from './directAttempt.js';
import type { DirectContext } from './directContext.js';
import type { DirectUpstream } from './directUpstream.js';
import type { PoolDesk } from './poolDesk.js';
import type { ReturnJudgement } from './returnWatch.js';
import { mayRunAgain, RouteKind, type Route } from './routeTable.js';
import { NoRetryReason, type RunReport } from './runReport.js';
import type { SendTally } from './sendTally.js';

export interface RetryDecisionOptions {
  readonly context: DirectContext;
  readonly request: ForwardedRequest;
  readonly route: Route;
  readonly pool: string;
  readonly desk: PoolDesk;
  readonly returned: ReturnJudgement;
  readonly answer: AnswerBuilder;
  readonly tally: SendTally;
  readonly report: RunReport;
  /** When the request is over. */
  readonly endAtMs: number;
}

/** Decides on the retries of one request. */
export class RetryDecision {
  readonly #options: RetryDecisionOptions;

  constructor(options: RetryDecisionOptions) {
    this.#options = options;
  }

  /** Whether another attempt after a failed one can neither do harm nor mix two answers. */
  mayFollow({ isNotRun }: AttemptFailure): boolean {
    const { answer, report, route } = this.#options;
    const isSafe = isNotRun || mayRunAgain(route);
    if (isSafe && (!answer.isCommitted || route.isResumable)) return true;
    report.noteNoRetry(NoRetryReason.MayHaveRun);
    return false;
  }

  /** An upstream for another attempt, where request, route and time allow one. */
  choose(nowMs: number): Result<DirectUpstream, NoRetryReason> {
    const { desk, endAtMs, request, route, tally } = this.#options;
    if (nowMs >= endAtMs) return Err(NoRetryReason.TimeOver);
    if (!request.body.isRepeatable) return Err(NoRetryReason.BodyPassedOn);
    if (!tally.allowsAnother(route)) return Err(NoRetryReason.AttemptsSpent);
    const upstream = desk.choose(tally.failed, nowMs);
    return upstream ? Ok(upstream) : Err(NoRetryReason.NoUpstream);
  }

  /**
   * Whether another upstream can take the place of one that makes no progress. It is not given up
   * before: it may be slow and sound.
   */
  canReplace(upstream: string, nowMs: number): boolean {
    const { context, desk, endAtMs, pool, request, route, tally } = this.#options;
    if (!mayRunAgain(route) || !request.body.isComplete || nowMs >= endAtMs) return false;
    if (!request.body.isRepeatable || !tally.allowsAnother(route)) return false;
    if (!context.mayRetry(pool, nowMs)) return false;
    return desk.choose(new Set([...tally.failed, upstream]), nowMs) !== undefined;
  }

  /** A request that has not run is better told when to come back, if it has not come back yet. */
  get isWorthWaiting(): boolean {
    const { returned, route, tally } = this.#options;
    return returned.isReturned || (route.kind === RouteKind.Stream && tally.mayHaveRun);
  }

  /** Takes one attempt out of what all requests of the pool share. */
  takeBudget(reason: RetryReason): boolean {
    const { context, pool, report, request } = this.#options;
    const { isRepeatable } = request.body;
    const isTaken = isRepeatable && context.takeRetry(pool, performance.now());
    if (isTaken) report.noteRetry(reason);
    else report.noteNoRetry(isRepeatable ? NoRetryReason.BudgetSpent : NoRetryReason.BodyPassedOn);
    return isTaken;
  }
}
