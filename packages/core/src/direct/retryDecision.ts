/** Decides whether, and at which upstream, a request is retried after a failed attempt. */
import type { RetryReason } from '../model/reason.js';
import { Err, Ok, type Result } from '../outcome.js';
import type { ForwardedRequest } from '../ports/upstreamCaller.js';

import type { ResponseBuilder } from './responseBuilder.js';
import type { RequestCost } from './cost/requestCost.js';
import type { AttemptFailure } from './directAttempt.js';
import type { DirectContext } from './directContext.js';
import type { DirectUpstream } from './directUpstream.js';
import type { PoolAdmission } from './poolAdmission.js';
import type { ReturnAssessment } from './returnDetector.js';
import { canRunAgain, RouteKind, type Route } from './routeTable.js';
import { GiveUpReason, type RequestTelemetry } from './requestTelemetry.js';
import type { SendHistory } from './sendHistory.js';

export interface RetryDecisionOptions {
  readonly context: DirectContext;
  readonly request: ForwardedRequest;
  readonly route: Route;
  readonly pool: string;
  readonly admission: PoolAdmission;
  readonly cost: RequestCost | undefined;
  readonly returnAssessment: ReturnAssessment;
  readonly response: ResponseBuilder;
  readonly history: SendHistory;
  readonly telemetry: RequestTelemetry;
  /** When the request expires. */
  readonly endAtMs: number;
}

/** Retry decisions of one request. */
export class RetryDecision {
  readonly #options: RetryDecisionOptions;

  constructor(options: RetryDecisionOptions) {
    this.#options = options;
  }

  /** Whether a retry is safe: it neither repeats side effects nor mixes two responses. */
  canRetryAfter({ isNotRun }: AttemptFailure): boolean {
    const { response, telemetry, route } = this.#options;
    const isSafe = isNotRun || canRunAgain(route);
    const canGoOn = route.isResumable && response.lastEventId !== undefined;
    if (isSafe && (!response.isCommitted || canGoOn)) return true;
    telemetry.noteGiveUp(isSafe ? GiveUpReason.NotResumable : GiveUpReason.MayHaveRun);
    return false;
  }

  /**
   * Chooses an upstream for a retry; fails with the reason why request, route or time allow none.
   */
  chooseUpstream(nowMs: number): Result<DirectUpstream, GiveUpReason> {
    const { admission, cost, endAtMs, request, route, history } = this.#options;
    if (nowMs >= endAtMs) return Err(GiveUpReason.TimeOver);
    if (!request.body.isRepeatable) return Err(GiveUpReason.BodyPassedOn);
    if (!history.canSendAgain(route)) return Err(GiveUpReason.AttemptsSpent);
    const upstream = admission.chooseUpstream(history.triedUpstreams, nowMs, cost);
    return upstream ? Ok(upstream) : Err(GiveUpReason.NoUpstream);
  }

  /**
   * Chooses an upstream that confirms the end of a stream, of those whose responses have ended
   * there; fails with the reason why there is none.
   */
  chooseConfirming(nowMs: number): Result<DirectUpstream, GiveUpReason> {
    const { admission, endAtMs, history, request, response, route } = this.#options;
    if (nowMs >= endAtMs) return Err(GiveUpReason.TimeOver);
    if (!request.body.isRepeatable) return Err(GiveUpReason.BodyPassedOn);
    if (!history.canConfirmAgain(route)) return Err(GiveUpReason.AttemptsSpent);
    const upstream = admission.findForConfirmation(response.endedUpstreams, nowMs);
    return upstream ? Ok(upstream) : Err(GiveUpReason.NoUpstream);
  }

  /** Whether an upstream may confirm the end of the stream now, or once it has capacity. */
  get isConfirmationWorthWaiting(): boolean {
    const { admission, history, response, route } = this.#options;
    return history.canConfirmAgain(route) && admission.isAnyInService(response.endedUpstreams);
  }

  /**
   * Whether another upstream can replace one that makes no progress. The silent one is kept until
   * then, as it may only be slow. Where the whole pool is silent, another one would be no better,
   * but one that has ended the stream may still confirm its end, also if it has no capacity yet.
   */
  canReplace(upstream: string, isPoolLive: boolean, nowMs: number): boolean {
    const { context, admission, cost, endAtMs, pool, request, route, history } = this.#options;
    if (!canRunAgain(route) || !request.body.isComplete || nowMs >= endAtMs) return false;
    if (!request.body.isRepeatable || !context.mayRetry(pool, nowMs)) return false;
    const excluded = new Set([...history.triedUpstreams, upstream]);
    const isReplaceable =
      isPoolLive &&
      history.canSendAgain(route) &&
      admission.chooseUpstream(excluded, nowMs, cost) !== undefined;
    return isReplaceable || this.isConfirmationWorthWaiting;
  }

  /**
   * Whether the request is better queued than refused: a caller's retry, or a stream that may have
   * run. Any other request is refused with a Retry-After delay.
   */
  get isWorthWaiting(): boolean {
    const { returnAssessment, route, history } = this.#options;
    return returnAssessment.isReturned || (route.kind === RouteKind.Stream && history.mayHaveRun);
  }

  /**
   * Takes one retry from the budget that all requests of the pool share; false where it is used up.
   */
  takeBudget(reason: RetryReason): boolean {
    const { context, pool, telemetry, request } = this.#options;
    const { isRepeatable } = request.body;
    const isTaken = isRepeatable && context.takeRetry(pool, performance.now());
    if (isTaken) telemetry.noteRetry(reason);
    else telemetry.noteGiveUp(isRepeatable ? GiveUpReason.BudgetSpent : GiveUpReason.BodyPassedOn);
    return isTaken;
  }
}
