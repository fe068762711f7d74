/** Logs and metrics of one request: each decision with the values on which it was based. */
import { RefusalReason, type Refusal, type RetryReason } from '../model/reason.js';
import { AnswerFraming } from '../ports/caller.js';
import { LogLevel, type LogFields } from '../ports/log.js';
import type { ForwardedRequest } from '../ports/upstreamCaller.js';

import { reportCosts, reportHoldingTimes } from './cost/costTelemetry.js';
import type { RequestCost } from './cost/requestCost.js';
import type { ResponseBuilder } from './responseBuilder.js';
import type { ResponseTimes } from './responseTimes.js';
import type { AttemptFailure, DirectAttempt } from './directAttempt.js';
import type { DirectContext } from './directContext.js';
import type { DirectUpstream } from './directUpstream.js';
import type { PoolAdmission } from './poolAdmission.js';
import type { ReturnAssessment } from './returnDetector.js';
import type { Route } from './routeTable.js';
import type { SendHistory } from './sendHistory.js';

const LOG_PART = 'request';

/** Why a failed attempt is not retried. */
export enum GiveUpReason {
  TimeOver = 'time-over',
  BodyPassedOn = 'body-passed-on',
  AttemptsSpent = 'attempts-spent',
  NoUpstream = 'no-upstream',
  BudgetSpent = 'budget-spent',
  MayHaveRun = 'may-have-run',
  NotResumable = 'not-resumable',
}

export interface RequestTelemetryOptions {
  readonly context: DirectContext;
  readonly request: ForwardedRequest;
  readonly route: Route;
  readonly returnAssessment: ReturnAssessment;
  readonly pool: string;
  readonly admission: PoolAdmission;
  readonly times: ResponseTimes;
  readonly history: SendHistory;
}

/** Writes the log lines and metrics of one request. */
export class RequestTelemetry {
  readonly #options: RequestTelemetryOptions;

  /** Why the last failed attempt was not retried. */
  #giveUpReason: GiveUpReason | undefined;

  constructor(options: RequestTelemetryOptions) {
    this.#options = options;
  }

  /**
   * @param resumeAfterId id of the last event that the caller received, if a stream is resumed
   * @param cost predicted work, where it is known
   */
  noteSent(
    upstream: DirectUpstream,
    resumeAfterId: string | undefined,
    cost: RequestCost | undefined,
  ): void {
    const { board, metrics } = this.#options.context;
    const nowMs = performance.now();
    metrics.count('placement.choice', {
      by: cost?.isDeclared ? 'work' : 'count',
      domain: upstream.entry.domain === board.domain ? 'own' : 'other',
    });
    this.#write(LogLevel.Routine, 'Request sent.', {
      upstream: upstream.id,
      load: board.countLoad(upstream, nowMs),
      pace: upstream.readSlowdown(nowMs),
      requestLimitPerS: board.limits.find(upstream.incarnation),
      peersHeard: board.livePeers.size,
      configVersion: board.table?.version,
      answerTokens: cost && Math.round(cost.answerTokens),
      isResumed: resumeAfterId !== undefined,
      resumeAfterId,
    });
  }

  noteErrorStatus(failed: DirectAttempt, status: number): void {
    this.#write(LogLevel.Info, 'Request retried after an error response.', {
      upstream: failed.upstream.id,
      status,
    });
  }

  noteFailed(
    failed: DirectAttempt,
    { reason, ending, detail, isNotRun }: AttemptFailure,
    lastEventId: string | undefined,
  ): void {
    this.#write(LogLevel.Info, 'Attempt failed.', {
      ...this.#describeAttempt(failed),
      lastEventId,
      reason,
      ending,
      detail,
      isNotRun,
    });
  }

  /** Records that a stream has ended with its connection, and may be incomplete. */
  noteUnconfirmedEnd(attempt: DirectAttempt, lastEventId: string | undefined): void {
    this.#options.context.metrics.count('stream.end.unconfirmed');
    this.#write(LogLevel.Info, 'The end of a stream is not confirmed.', {
      ...this.#describeAttempt(attempt),
      lastEventId,
    });
  }

  /** Records whether a stream was complete when an earlier attempt had ended. */
  noteSettledEnd(attempt: DirectAttempt, isComplete: boolean): void {
    const outcome = isComplete ? 'complete' : 'truncated';
    this.#options.context.metrics.count('stream.end.settled', { outcome });
    this.#write(LogLevel.Info, 'The end of a stream is settled.', {
      upstream: attempt.upstream.id,
      outcome,
    });
  }

  noteRetry(reason: RetryReason): void {
    this.#options.context.metrics.count('request.retried', { reason });
  }

  noteGiveUp(reason: GiveUpReason): void {
    this.#giveUpReason = reason;
    this.#options.context.metrics.count('request.not.retried', { reason });
    this.#write(LogLevel.Info, 'Request not retried.', { reason });
  }

  notePause(pauseMs: number): void {
    this.#options.context.metrics.timing('stream.pause', pauseMs);
  }

  /**
   * Records a complete response. One that ended with its connection is logged at a level that is
   * not sampled, as nothing on the wire shows that it is whole.
   */
  noteAnswered(
    attempt: DirectAttempt | undefined,
    status: number,
    lastEventId: string | undefined,
  ): void {
    const { admission, context, pool, request } = this.#options;
    const { cost, holdingTimes } = admission;
    const nowMs = performance.now();
    if (cost) reportCosts({ ...context, pool, cost, nowMs });
    else reportHoldingTimes(context.metrics, pool, holdingTimes, nowMs);
    context.metrics.count('request.answered', { status: String(status) });
    context.metrics.timing('request.time', performance.now() - request.arrivedAtMs);
    const isUntilClose = attempt?.framing === AnswerFraming.UntilClose;
    if (isUntilClose) context.metrics.count('request.answered.until.close');
    this.#write(isUntilClose ? LogLevel.Info : LogLevel.Routine, 'Request answered.', {
      upstream: attempt?.upstream.id,
      status,
      framing: attempt?.framing,
      attemptEvents: attempt?.eventCount,
      lastEventId,
    });
  }

  /**
   * Records a request without a complete response. A response that breaks off for its caller is
   * logged at a level that is dropped last, with all that is known of its attempts.
   */
  noteRefused(refusal: Refusal, { isCommitted, lastEventId }: ResponseBuilder): void {
    const { context, admission, history, pool } = this.#options;
    const { reason, outcome, detail, retryAfterMs } = refusal;
    context.metrics.count('request.refused', { reason });
    if (isCommitted) context.metrics.count('response.cut', { reason });
    this.#write(isCommitted ? LogLevel.Warn : LogLevel.Info, 'Request not answered.', {
      reason,
      notRetried: this.#giveUpReason,
      attempts: history.describe(),
      lastEventId,
      outcome,
      retryAfterMs: Math.round(retryAfterMs),
      detail,
      isBegun: isCommitted,
      waiting: admission.waitingCount,
      pool,
    });
  }

  /** @param attempt the attempt that was in progress, if any */
  noteCallerGone(attempt: DirectAttempt | undefined): void {
    this.#options.context.metrics.count('request.refused', { reason: RefusalReason.CallerGone });
    this.#write(LogLevel.Info, 'Caller disconnected.', this.#describeAttempt(attempt));
  }

  /** Records the times of a request that has ended. */
  noteEnd(): void {
    const { context, times } = this.#options;
    const { waitedMs, firstMs } = times;
    if (waitedMs !== undefined) context.metrics.timing('request.wait', waitedMs);
    if (firstMs !== undefined) context.metrics.timing('request.first', firstMs);
  }

  #describeAttempt(attempt: DirectAttempt | undefined): LogFields {
    if (!attempt) return {};
    return {
      upstream: attempt.upstream.id,
      attemptMs: Math.round(attempt.ageMs),
      hasHead: attempt.hasHead,
      hasOutput: attempt.hasOutput,
      framing: attempt.framing,
      attemptEvents: attempt.eventCount,
      promptParts: this.#options.request.sharedPromptParts.join(','),
    };
  }

  #write(level: LogLevel, sentence: string, fields: LogFields): void {
    const { context, request, returnAssessment, route, times, history, admission } = this.#options;
    context.log.write(level, LOG_PART, sentence, {
      id: request.id,
      route: route.name,
      isReturned: returnAssessment.isReturned,
      ...times.describe(performance.now()),
      sends: history.sends,
      limit: Math.round(admission.capacity.limitPerUpstream * 10) / 10,
      ...fields,
    });
  }
}
