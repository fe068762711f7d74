/**
 * Handles one request in an entry that calls upstreams itself: admission, attempts and completion.
 *
 * It ends exactly once: with an upstream's response, with a refusal, or with a response that is
 * visibly aborted; at the latest when the route timeout or the caller's deadline expires.
 */
import { containFault, reportFault, toError } from '../fault.js';
import { Outcome, RefusalReason, RetryReason, type Refusal } from '../model/reason.js';
import { NOT_RUN_STATUSES } from '../model/responseStatus.js';
import type { Caller } from '../ports/caller.js';
import {
  ConnectionChoice,
  type AnswerHead,
  type ForwardedRequest,
} from '../ports/upstreamCaller.js';

import { createBodyRefusal } from '../memory/bodyRefusal.js';

import { CallerPatience } from './callerPatience.js';
import { ResponseBuilder } from './responseBuilder.js';
import { ResponseTimes } from './responseTimes.js';
import type { RequestCost } from './cost/requestCost.js';
import { AttemptEnding } from './attemptEnding.js';
import { DirectAttempt, type AttemptFailure } from './directAttempt.js';
import type { DirectContext } from './directContext.js';
import type { DirectUpstream } from './directUpstream.js';
import type { PoolAdmission } from './poolAdmission.js';
import { canRunAgain, RouteKind, type DirectWorkspace, type Route } from './routeTable.js';
import { PromptGuard } from './prompts/promptGuard.js';
import { RetryDecision } from './retryDecision.js';
import type { ReturnAssessment } from './returnDetector.js';
import { GiveUpReason, RequestTelemetry } from './requestTelemetry.js';
import { SendHistory } from './sendHistory.js';
import { chooseSilenceLimitMs } from './silenceLimit.js';
import { planLateWait, planWait, type ExpectedTimes } from './waitPlan.js';
import { AdmissionDenial, type AdmissionTicket } from './admissionQueue.js';
import { AttemptOutcome } from './sharing/urgencyTelemetry.js';
import type { WorkspaceClaim } from './sharing/workspaceClaim.js';

const LOG_PART = 'request';

const STATUS_SERVER_ERROR = 500;

const END_UNCONFIRMED: AttemptFailure = {
  isNotRun: false,
  isConnectionLost: false,
  reason: RefusalReason.EndUnconfirmed,
  retryReason: RetryReason.EndUnconfirmed,
  ending: AttemptEnding.Unconfirmed,
  detail: 'the stream ended with its connection and could not be confirmed to be complete',
};

const RESUMPTION_REJECTED: Omit<AttemptFailure, 'detail'> = {
  isNotRun: false,
  isConnectionLost: false,
  reason: RefusalReason.UpstreamFailed,
  retryReason: RetryReason.StreamResumed,
  ending: AttemptEnding.ErrorStatus,
};

const INTERNAL_ERROR: AttemptFailure = {
  isNotRun: false,
  isConnectionLost: false,
  reason: RefusalReason.UpstreamFailed,
  retryReason: RetryReason.UpstreamFailed,
  ending: AttemptEnding.InternalError,
  detail: 'an internal error occurred while the response was handled',
};

/** Largest part of the caller's remaining time that a Retry-After delay may use. */
const RETRY_AFTER_FRACTION = 0.3;

export interface DirectRequestOptions {
  readonly context: DirectContext;
  readonly request: ForwardedRequest;
  readonly caller: Caller;
  readonly route: Route;
  readonly pool: string;
  readonly admission: PoolAdmission;
  readonly workspace: DirectWorkspace | undefined;
  /** Whether the request is a caller's retry, as inferred from its deadline. */
  readonly returnAssessment: ReturnAssessment;
  /** Called exactly once; `refusal` is set where the request was refused. */
  readonly onDone: (finished: DirectRequest, refusal?: Refusal) => void;
}

/** One request from its arrival to its end. */
export class DirectRequest {
  readonly #options: DirectRequestOptions;

  readonly #response: ResponseBuilder;

  readonly #times: ResponseTimes;

  readonly #telemetry: RequestTelemetry;

  readonly #history = new SendHistory();

  readonly #retry: RetryDecision;

  readonly #guard: PromptGuard;

  /** When the route timeout or the caller's deadline expires. */
  readonly #endAtMs: number;

  #attempt: DirectAttempt | undefined;

  /** Earlier attempts that have claimed that the stream ends after the caller's last event. */
  #unconfirmed: DirectAttempt[] = [];

  #responseStatus = 0;

  /** Predicted work; undefined where the pool's engines have no configured costs. */
  readonly #cost: RequestCost | undefined;

  /** Whether the caller's slowness has paused the attempt since the last event. */
  #wasPaused = false;

  /** Events of the response so far. */
  #eventCount = 0;

  #isOver = false;

  #hasOutcome = false;

  #timer: NodeJS.Timeout | undefined;

  readonly #patience: CallerPatience;

  /** Constant, so that what is added to the workspace's use is what is taken off. */
  readonly #claim: WorkspaceClaim | undefined;

  constructor(options: DirectRequestOptions) {
    this.#options = options;
    const { caller, request, route } = options;
    this.#claim = options.admission.createClaim(options.workspace?.name, request.size);
    this.#response = new ResponseBuilder({
      caller,
      isStream: route.kind === RouteKind.Stream,
      rests: options.admission.rests,
      resumeAfterId: route.isResumable ? request.resumeAfterId : undefined,
    });
    this.#times = new ResponseTimes(request.arrivedAtMs);
    this.#endAtMs =
      request.arrivedAtMs + Math.min(route.timeoutMs, request.deadlineMs ?? route.timeoutMs);
    this.#telemetry = new RequestTelemetry({
      ...options,
      times: this.#times,
      history: this.#history,
    });
    this.#cost = options.admission.cost?.predict({
      route: route.name,
      workspace: options.workspace?.name ?? '',
      size: request.size,
    });
    this.#retry = new RetryDecision({
      ...options,
      cost: this.#cost,
      response: this.#response,
      history: this.#history,
      telemetry: this.#telemetry,
      endAtMs: this.#endAtMs,
    });
    this.#guard = new PromptGuard(options);
    this.#patience = new CallerPatience({
      patienceMs: route.patienceMs,
      times: this.#times,
      onExhausted: (silentMs) => {
        const detail = `the caller has received no event for ${Math.round(silentMs)} ms`;
        this.#end(RefusalReason.UpstreamSilent, detail);
      },
    });
    caller.onDisconnect(() => this.#handleCallerGone());
    caller.onDrain(() => this.#handleDrain());
    request.body.onRejected((reason) => this.#refuseBody(reason));
  }

  get isStream(): boolean {
    return this.#options.route.kind === RouteKind.Stream;
  }

  /**
   * Requests admission once enough of the body has arrived, so that a slow caller occupies no slot.
   */
  start(): void {
    const { request } = this.#options;
    this.#timer = setTimeout(() => this.#handleTimeout(), this.#endAtMs - performance.now());
    if (this.isStream) this.#patience.start();
    request.body.onReady(() => {
      if (!this.#isOver) this.#requestAdmission();
    });
  }

  /** Ends the request if its prompt has been quarantined and it has no output yet. */
  applyQuarantine(): void {
    if (this.#isOver || this.#attempt?.hasOutput) return;
    const refusal = this.#guard.check(performance.now());
    if (refusal) this.#refuseQuarantined(refusal);
  }

  /** Ends the request, as the process is about to exit. */
  abort(): void {
    if (this.#isOver) return;
    this.#end(RefusalReason.ShuttingDown, 'this entry is shutting down');
  }

  #maxReturnDelayMs(nowMs: number): number {
    const { request, route } = this.#options;
    const deadlineMs = request.deadlineMs ?? route.timeoutMs;
    return Math.max(0, request.arrivedAtMs + deadlineMs - nowMs) * RETRY_AFTER_FRACTION;
  }

  #requestAdmission(): void {
    const { admission } = this.#options;
    const nowMs = performance.now();
    const quarantined = this.#guard.check(nowMs);
    if (quarantined) {
      this.#refuseQuarantined(quarantined);
      return;
    }
    const ticket: AdmissionTicket = {
      ...this.#ticketBase,
      ...planWait(
        { ...this.#options, isByPriority: admission.isByPriority },
        this.#estimateTimes(0),
        nowMs,
      ),
      onAdmitted: (upstream) =>
        this.#contain(() => {
          this.#times.noteAdmitted(performance.now());
          this.#send(upstream);
        }),
      onDenied: (denial) => {
        const deniedAtMs = performance.now();
        admission.noteDenied(ticket, denial, deniedAtMs);
        this.#refuse(
          admission.createRefusal(denial, this.#maxReturnDelayMs(deniedAtMs), deniedAtMs),
        );
      },
    };
    admission.admit(ticket, nowMs);
  }

  /** @param streamedMs time for which the response has been streaming already */
  #estimateTimes(streamedMs: number): ExpectedTimes {
    const { admission, route } = this.#options;
    return {
      firstOutputMs: admission.capacity.expectedFirstOutputMs,
      responseMs: admission.capacity.estimateRemainingMs(route.name, streamedMs),
    };
  }

  get #ticketBase(): Pick<AdmissionTicket, 'id' | 'priority' | 'arrivedAtMs' | 'cost' | 'claim'> {
    const { route, request, workspace } = this.#options;
    const priority = workspace?.priority ?? route.priority;
    const cost = this.#cost;
    const claim = this.#claim;
    return { id: request.id, priority, arrivedAtMs: request.arrivedAtMs, cost, claim };
  }

  #send(upstream: DirectUpstream): void {
    const { context, admission, request, route, workspace } = this.#options;
    const nowMs = performance.now();
    const leftMs = this.#endAtMs - nowMs;
    if (leftMs <= 0) {
      // After a suspended process resumes, admission can run before the timers that have expired.
      this.#handleTimeout();
      return;
    }
    const quarantined = this.#guard.check(nowMs);
    if (quarantined) {
      this.#refuseQuarantined(quarantined);
      return;
    }
    this.#guard.noteSent();
    if (this.#response.endedUpstreams.includes(upstream.id)) {
      this.#history.noteConfirmingSend(upstream.id);
    } else this.#history.noteSent(upstream.id);
    const resumeAfterId = this.#response.prepareAttempt(upstream.id);
    this.#telemetry.noteSent(upstream, resumeAfterId, this.#cost);
    this.#attempt = new DirectAttempt({
      context,
      admission,
      claim: this.#claim,
      upstream,
      silenceLimitMs: chooseSilenceLimitMs(route, 0),
      cost: this.#cost,
      earlierEvents: this.#eventCount,
      call: {
        request,
        upstream: upstream.entry,
        workspace: workspace?.name,
        remainingMs: request.deadlineMs === undefined ? undefined : Math.floor(leftMs),
        resumeAfterId,
        connection: this.#chooseConnection(upstream),
      },
      events: {
        onHead: (head) => this.#handleHead(head),
        onData: (data) => this.#handleData(data),
        onSilence: (silentMs, isPoolLive) => this.#canReplace(upstream, silentMs, isPoolLive),
        assessEnd: () => this.#response.assessEnd(upstream.id),
        onEnd: () => this.#handleEnd(),
        onUnconfirmedEnd: () => this.#handleUnconfirmedEnd(),
        onFailure: (failure) => this.#handleFailure(failure),
        onFault: (error) => this.#handleFault(error),
      },
    });
    this.#attempt.start();
  }

  /**
   * An upstream that gets the request again may repeat its earlier response to it, which has the
   * same id.
   */
  #chooseConnection({ id }: DirectUpstream): ConnectionChoice {
    if (this.#history.triedUpstreams.has(id)) return ConnectionChoice.New;
    const isOnce = this.#options.route.kind === RouteKind.Once;
    return isOnce ? ConnectionChoice.Recent : ConnectionChoice.Any;
  }

  /** Whether another attempt is to replace one that makes no progress. */
  #canReplace(silent: DirectUpstream, silentMs: number, isPoolLive: boolean): boolean {
    const { admission, route } = this.#options;
    // The pauses of the pool's streams say nothing about a request that only confirms an end.
    const meanPauseMs = this.#response.isEndClaimed ? 0 : admission.meanPauseMs;
    if (silentMs < chooseSilenceLimitMs(route, meanPauseMs)) return false;
    return this.#retry.canReplace(silent.id, isPoolLive, performance.now());
  }

  #handleHead(head: AnswerHead): boolean {
    if (!this.#response.canContinueWith(head)) {
      this.#failResumption(head);
      return false;
    }
    if (head.status >= STATUS_SERVER_ERROR && this.#retryElsewhere(head)) return false;
    if (this.#isFalsePromise(head)) {
      this.#end(
        RefusalReason.UpstreamFailed,
        `the upstream answered with status ${head.status} but did not state that nothing was run`,
      );
      return false;
    }
    this.#responseStatus = head.status;
    this.#response.begin(head);
    return true;
  }

  #failResumption({ headers, status }: AnswerHead): void {
    const mediaType = headers['content-type'] ?? 'none';
    const detail = `resuming the stream failed with status ${status}, media type ${mediaType}`;
    this.#attempt?.cancel();
    this.#handleFailure({ ...RESUMPTION_REJECTED, detail });
  }

  /**
   * Whether the status would promise the caller that a request has not run which may have run. A
   * caller sends such a request again only after that promise.
   */
  #isFalsePromise({ status, isNotRun }: AnswerHead): boolean {
    return !isNotRun && NOT_RUN_STATUSES.has(status) && !canRunAgain(this.#options.route);
  }

  /** Retries at another upstream in place of forwarding a server error. */
  #retryElsewhere(head: AnswerHead): boolean {
    const failed = this.#attempt;
    if (!failed || !canRunAgain(this.#options.route)) return false;
    if (this.#response.endedUpstreams.length > 0) {
      this.#failResumption(head);
      return true;
    }
    this.#history.noteTried(failed.upstream.id);
    this.#history.noteEnding(AttemptEnding.ErrorStatus, 0);
    const chosen = this.#retry.chooseUpstream(performance.now());
    if (chosen.err) this.#telemetry.noteGiveUp(chosen.val);
    if (chosen.err || !this.#retry.takeBudget(RetryReason.UpstreamFailed)) return false;
    this.#telemetry.noteErrorStatus(failed, head.status);
    failed.cancel();
    this.#send(chosen.val);
    return true;
  }

  /** @returns whether the response made progress */
  #handleData(data: Buffer): boolean {
    const { events, isProgress, isCallerReady } = this.#response.push(data);
    if (this.#isOver) return false;
    if (!isCallerReady) this.#pause();
    if (events > 0) this.#noteEvents(events);
    if (isProgress && this.#response.isSuccess) this.#guard.notePiece();
    if (this.#response.isOversized) this.#attempt?.failEndless('an event exceeds its size limit');
    if (this.#response.isMisplaced) this.#attempt?.failMisplaced(this.#response.lastEventId ?? '');
    return isProgress;
  }

  #noteEvents(count: number): void {
    const { route, admission } = this.#options;
    if (!this.#response.isEndClaimed) this.#settleUnconfirmed(false);
    this.#eventCount += count;
    this.#attempt?.noteEvents(count);
    const nowMs = performance.now();
    const pauseMs = this.#times.noteEvents(nowMs);
    const upstream = this.#wasPaused ? undefined : this.#attempt?.upstream;
    this.#wasPaused = false;
    if (pauseMs === undefined) {
      this.#noteServed(nowMs);
      return;
    }
    admission.notePause(pauseMs, route.pauseTargetMs, nowMs, upstream);
    this.#telemetry.notePause(pauseMs);
  }

  /** Records the first event of a stream, or a complete response. */
  #noteServed(nowMs: number): void {
    const { route, request } = this.#options;
    if (!this.#response.isSuccess) return;
    const isOnTime = nowMs - request.arrivedAtMs <= route.targetMs;
    this.#noteOutcome(isOnTime ? AttemptOutcome.OnTime : AttemptOutcome.Late);
  }

  /** Records the outcome of a caller's first attempt, once. */
  #noteOutcome(outcome: AttemptOutcome): void {
    const { admission, returnAssessment } = this.#options;
    if (this.#hasOutcome || returnAssessment.isReturned) return;
    this.#hasOutcome = true;
    admission.noteOutcome(this.#ticketBase.priority, outcome);
  }

  #pause(): void {
    this.#patience.noteCallerSlow();
    this.#attempt?.pause();
  }

  #handleDrain(): void {
    if (this.#isOver) return;
    this.#patience.noteCallerReady();
    this.#wasPaused = true;
    this.#attempt?.resume();
  }

  #handleEnd(): void {
    this.#response.end(() => this.#isOver);
    // The rest of a response can exceed the memory, which refuses the request.
    if (this.#isOver) return;
    const { admission } = this.#options;
    if (this.#response.isSuccess) this.#guard.noteServed();
    if (this.#cost && this.#response.isSuccess) {
      admission.cost?.noteAnswered(this.#cost, this.#eventCount);
    }
    // The attempt that only confirms the end of a stream has not run it.
    if (this.#attempt && this.#unconfirmed.length === 0) this.#noteRun(this.#attempt);
    this.#settleUnconfirmed(true);
    this.#noteServed(performance.now());
    this.#telemetry.noteAnswered(this.#attempt, this.#responseStatus, this.#response.lastEventId);
    this.#finish();
  }

  /** Records the time for which an attempt whose response has ended held its slot. */
  #noteRun({ ageMs }: DirectAttempt): void {
    const { admission, route } = this.#options;
    admission.capacity.noteCompleted(route.name, ageMs);
    if (!admission.cost) admission.holdingTimes.note(route.name, ageMs);
  }

  /**
   * Resumes a stream that may be complete, to find out. Without a response that shows it the stream
   * is aborted.
   */
  #handleUnconfirmedEnd(): void {
    const ended = this.#attempt;
    if (!ended || this.#isOver) return;
    this.#attempt = undefined;
    this.#unconfirmed.push(ended);
    this.#history.noteTried(ended.upstream.id);
    this.#history.noteEnding(AttemptEnding.Unconfirmed, ended.eventCount);
    if (ended.eventCount > 0) this.#noteRun(ended);
    this.#telemetry.noteUnconfirmedEnd(ended, this.#response.lastEventId);
    this.#continueAfter(END_UNCONFIRMED);
  }

  #settleUnconfirmed(isComplete: boolean): void {
    this.#unconfirmed.forEach((attempt) => {
      attempt.settle(isComplete);
      this.#telemetry.noteSettledEnd(attempt, isComplete);
    });
    this.#unconfirmed = [];
  }

  #handleFailure(failure: AttemptFailure): void {
    const failed = this.#attempt;
    if (!failed || this.#isOver) return;
    this.#attempt = undefined;
    this.#history.noteTried(failed.upstream.id);
    this.#history.noteEnding(failure.ending, failed.eventCount);
    if (failure.isNotRun) this.#history.noteNotRun();
    this.#telemetry.noteFailed(failed, failure, this.#response.lastEventId);
    this.#response.noteFailedAttempt();
    if (!this.#response.isEndClaimed) this.#settleUnconfirmed(false);
    const cause = failure.isConnectionLost ? this.#guard.noteLost(failed) : undefined;
    if (cause) this.#continueOnceKnown(cause, failure);
    else this.#continueAfter(failure);
  }

  async #continueOnceKnown(cause: Promise<void>, failure: AttemptFailure): Promise<void> {
    await containFault(this.#options.context, LOG_PART, () => cause);
    this.#contain(() => this.#continueAfter(failure));
  }

  /** Runs a step of this request, also while another request's response is handled. */
  #contain(step: () => void): void {
    try {
      step();
    } catch (thrown) {
      this.#handleFault(toError(thrown));
    }
  }

  /** Fails the attempt after an exception; a response that has been sent in full needs no more. */
  #handleFault(error: Error): void {
    const { context, request } = this.#options;
    const failed = this.#attempt;
    const fields = { id: request.id, upstream: failed?.upstream.id };
    reportFault(context, LOG_PART, error, fields);
    if (this.#isOver) return;
    failed?.cancel();
    if (this.#response.isEnded) this.#finish();
    else if (failed) this.#handleFailure(INTERNAL_ERROR);
    else this.#end(INTERNAL_ERROR.reason, INTERNAL_ERROR.detail);
  }

  #continueAfter(failure: AttemptFailure): void {
    if (this.#isOver) return;
    if (this.#retry.canRetryAfter(failure)) this.#retryAfter(failure);
    else this.#end(failure.reason, failure.detail);
  }

  /** Retries after a failed attempt: immediately, or once the pool accepts requests again. */
  #retryAfter(failure: AttemptFailure): void {
    const nowMs = performance.now();
    const chosen = this.#retry.chooseUpstream(nowMs);
    const { endedUpstreams } = this.#response;
    if (chosen.ok) this.#sendAgain(chosen.val, failure);
    else if (endedUpstreams.length > 0) this.#confirmAfter(failure, chosen.val, nowMs);
    else this.#queueOrGiveUp(failure, chosen.val);
  }

  /**
   * Asks an upstream whose response has ended after the caller's last event once more, as no other
   * one may be asked now.
   */
  #confirmAfter(failure: AttemptFailure, giveUpReason: GiveUpReason, nowMs: number): void {
    const chosen = this.#retry.chooseConfirming(nowMs);
    if (chosen.ok) this.#sendAgain(chosen.val, failure);
    else if (chosen.val !== GiveUpReason.NoUpstream) this.#giveUp(failure, chosen.val);
    else if (this.#retry.isConfirmationWorthWaiting) this.#awaitConfirmation(failure);
    else this.#queueOrGiveUp(failure, giveUpReason);
  }

  #awaitConfirmation(failure: AttemptFailure): void {
    const { admission, request } = this.#options;
    admission.awaitConfirmation(request.id, () => {
      this.#contain(() => this.#continueAfter(failure));
    });
  }

  #queueOrGiveUp(failure: AttemptFailure, giveUpReason: GiveUpReason): void {
    const isQueueable = giveUpReason === GiveUpReason.NoUpstream && this.#retry.isWorthWaiting;
    if (isQueueable) this.#queueForRetry(failure);
    else this.#giveUp(failure, giveUpReason);
  }

  /**
   * Queues the request for another attempt. When a group loses a rank, all of its streams break off
   * at once; those whose callers are still connected when the group is back can be completed.
   */
  #queueForRetry(failure: AttemptFailure): void {
    const { admission, route } = this.#options;
    const nowMs = performance.now();
    const expected = this.#estimateTimes(this.#times.streamedMs);
    const silentMs = this.#times.readSilentMs(nowMs);
    const ticket: AdmissionTicket = {
      ...this.#ticketBase,
      isLate: true,
      waitBudgetMs: planLateWait(route, expected, this.#endAtMs - nowMs, silentMs),
      onAdmitted: (upstream) => this.#contain(() => this.#sendAgain(upstream, failure)),
      onDenied: () => this.#giveUp(failure, GiveUpReason.NoUpstream),
    };
    admission.readmit(ticket);
  }

  #sendAgain(upstream: DirectUpstream, { reason, retryReason, detail }: AttemptFailure): void {
    if (this.#retry.takeBudget(retryReason)) this.#send(upstream);
    else this.#end(reason, detail);
  }

  #giveUp({ reason, detail }: AttemptFailure, giveUpReason: GiveUpReason): void {
    this.#telemetry.noteGiveUp(giveUpReason);
    this.#end(reason, detail);
  }

  #handleTimeout(): void {
    this.#end(
      RefusalReason.DeadlinePassed,
      'the route timeout or the deadline of the request has passed',
    );
  }

  /**
   * Ends the request without a complete response. Its outcome is "not run" only where that is
   * proved.
   */
  #end(reason: RefusalReason, detail: string): void {
    const { admission } = this.#options;
    const nowMs = performance.now();
    if (this.#history.mayHaveRun) {
      // Whatever ended the last attempt, an earlier one may have been complete.
      const lostReason = this.#response.isEndClaimed ? RefusalReason.EndUnconfirmed : reason;
      this.#refuse({ reason: lostReason, outcome: Outcome.Unknown, retryAfterMs: 0, detail });
      return;
    }
    const limitMs = this.#maxReturnDelayMs(nowMs);
    const { retryAfterMs } = admission.createRefusal(AdmissionDenial.Full, limitMs, nowMs);
    const isLate = reason === RefusalReason.DeadlinePassed;
    const finalReason = isLate ? RefusalReason.DeadlineUnreachable : reason;
    this.#refuse({ reason: finalReason, outcome: Outcome.NotRun, retryAfterMs, detail });
  }

  #refuseQuarantined(refusal: Refusal): void {
    if (this.#history.mayHaveRun) this.#end(refusal.reason, refusal.detail);
    else this.#refuse(refusal);
  }

  /** Part of a body that is not accepted may have been sent already and may have taken effect. */
  #refuseBody(reason: RefusalReason): void {
    const outcome = this.#history.mayHaveRun ? Outcome.Unknown : Outcome.NotRun;
    this.#refuse(createBodyRefusal(reason, outcome));
  }

  #refuse(refusal: Refusal): void {
    if (this.#isOver) return;
    const { caller } = this.#options;
    this.#cancelAttempt();
    this.#noteOutcome(AttemptOutcome.Refused);
    this.#telemetry.noteRefused(refusal, this.#response);
    if (this.#response.isCommitted) caller.abort(refusal);
    else caller.refuse(refusal);
    this.#finish(refusal);
  }

  /** Cancels the attempt in progress, as the caller has disconnected. */
  #handleCallerGone(): void {
    if (this.#isOver) return;
    this.#cancelAttempt();
    this.#telemetry.noteCallerGone(this.#attempt);
    this.#finish();
  }

  #cancelAttempt(): void {
    if (!this.#attempt) return;
    this.#guard.noteAbandoned(this.#attempt);
    this.#attempt.cancel();
  }

  #finish(refusal?: Refusal): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#guard.release();
    clearTimeout(this.#timer);
    this.#patience.stop();
    this.#options.admission.withdraw(this.#options.request.id);
    this.#telemetry.noteEnd();
    this.#options.onDone(this, refusal);
  }
}
