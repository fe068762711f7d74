/**
 * One request's way through an entry that calls upstreams itself: its turn, its attempts, its end.
 *
 * It ends exactly once: by an upstream's answer, by a refusal, or by an answer that is visibly
 * broken off; at the latest when its route's or its caller's time is over.
 */
import { Outcome, RefusalReason, RetryReason, type Refusal } from '../model/reason.js';
import type { Caller } from '../ports/caller.js';
import type { AnswerHead, ForwardedRequest } from '../ports/upstreamCaller.js';

import { AnswerBuilder } from './answerBuilder.js';
import { AnswerTimes } from './answerTimes.js';
import { DirectAttempt, type AttemptFailure } from './directAttempt.js';
import type { DirectContext } from './directContext.js';
import type { DirectUpstream } from './directUpstream.js';
import type { PoolDesk } from './poolDesk.js';
import { mayRunAgain, RouteKind, type DirectWorkspace, type Route } from './routeTable.js';
import { RetryDecision } from './retryDecision.js';
import type { ReturnJudgement } from './returnWatch.js';
import { NoRetryReason, RunReport } from './runReport.js';
import { SendTally } from './sendTally.js';
import { chooseSilenceMs } from './silenceLimit.js';
import { planLateWait, planTurn, type ExpectedTimes } from './turnPlan.js';
import { TurnDenial, type Ticket } from './turnQueue.js';

const STATUS_SERVER_ERROR = 500;

/** Part of the caller's remaining time after which it does not wait to come back. */
const RETURN_PART = 0.3;

export interface DirectRunOptions {
  readonly context: DirectContext;
  readonly request: ForwardedRequest;
  readonly caller: Caller;
  readonly route: Route;
  readonly pool: string;
  readonly desk: PoolDesk;
  readonly workspace: DirectWorkspace | undefined;
  /** Whether its caller has come back, by the time that it names. */
  readonly returned: ReturnJudgement;
  /** Called once; with the refusal, where there was one. */
  readonly onDone: (run: DirectRun, refusal?: Refusal) => void;
}

/** One request from its acceptance to its end. */
export class DirectRun {
  readonly #options: DirectRunOptions;

  readonly #answer: AnswerBuilder;

  readonly #times: AnswerTimes;

  readonly #report: RunReport;

  readonly #tally = new SendTally();

  readonly #retry: RetryDecision;

  /** When the request is over, by its route or by its caller. */
  readonly #endAtMs: number;

  #attempt: DirectAttempt | undefined;

  #answerStatus = 0;

  #isOver = false;

  #timer: NodeJS.Timeout | undefined;

  #patienceTimer: NodeJS.Timeout | undefined;

  /** Whether the caller takes the answer more slowly than it comes. */
  #isCallerSlow = false;

  constructor(options: DirectRunOptions) {
    this.#options = options;
    const { caller, request, route } = options;
    this.#answer = new AnswerBuilder(caller, route.kind === RouteKind.Stream);
    this.#times = new AnswerTimes(request.arrivedAtMs);
    this.#endAtMs =
      request.arrivedAtMs + Math.min(route.timeoutMs, request.deadlineMs ?? route.timeoutMs);
    this.#report = new RunReport({ ...options, times: this.#times, tally: this.#tally });
    this.#retry = new RetryDecision({
      ...options,
      answer: this.#answer,
      tally: this.#tally,
      report: this.#report,
      endAtMs: this.#endAtMs,
    });
    caller.onGone(() => this.#leave());
    caller.onDrain(() => this.#resume());
    request.body.onTooLarge(() => this.#refuseBody());
  }

  get isStream(): boolean {
    return this.#options.route.kind === RouteKind.Stream;
  }

  /** Asks for a turn, once enough of the body is here: a slow caller holds no place. */
  start(): void {
    const { request } = this.#options;
    this.#timer = setTimeout(() => this.#readTimeout(), this.#endAtMs - performance.now());
    this.#watchPatience();
    request.body.onReady(() => {
      if (!this.#isOver) this.#enter();
    });
  }

  /** Ends the request as its entry is about to end. */
  breakOff(): void {
    if (this.#isOver) return;
    this.#end(RefusalReason.ShuttingDown, 'the entry ends');
  }

  #returnLimitMs(nowMs: number): number {
    const { request, route } = this.#options;
    const deadlineMs = request.deadlineMs ?? route.timeoutMs;
    return Math.max(0, request.arrivedAtMs + deadlineMs - nowMs) * RETURN_PART;
  }

  #enter(): void {
    const { desk } = this.#options;
    const nowMs = performance.now();
    const ticket: Ticket = {
      ...this.#ticketBase,
      ...planTurn(this.#options, this.#expectTimes(0), nowMs),
      onTurn: (upstream) => {
        this.#times.noteTurn(performance.now());
        this.#send(upstream, false);
      },
      onDenied: (denial) => {
        const deniedAtMs = performance.now();
        this.#refuse(desk.refuse(denial, this.#returnLimitMs(deniedAtMs), deniedAtMs));
      },
    };
    desk.enter(ticket, nowMs);
  }

  /** @param servedMs time for which the answer has come already */
  #expectTimes(servedMs: number): ExpectedTimes {
    const { desk, route } = this.#options;
    return {
      firstMs: desk.capacity.expectedFirstMs,
      answerMs: desk.capacity.expectRestMs(route.name, servedMs),
    };
  }

  get #ticketBase(): Pick<Ticket, 'id' | 'priority' | 'arrivedAtMs'> {
    const { route, request, workspace } = this.#options;
    const priority = workspace?.priority ?? route.priority;
    return { id: request.id, priority, arrivedAtMs: request.arrivedAtMs };
  }

  #send(upstream: DirectUpstream, isResumed: boolean): void {
    const { context, desk, request, route, workspace } = this.#options;
    const nowMs = performance.now();
    const leftMs = this.#endAtMs - nowMs;
    if (leftMs <= 0) {
      // A process that was paused gives turns before its timers tell that their time is over.
      this.#readTimeout();
      return;
    }
    this.#tally.noteSent();
    this.#report.noteSent(upstream, isResumed);
    this.#attempt = new DirectAttempt({
      context,
      desk,
      upstream,
      silenceLimitMs: chooseSilenceMs(route, 0),
      call: {
        request,
        upstream: upstream.entry,
        workspace: workspace?.name,
        remainingMs: request.deadlineMs === undefined ? undefined : Math.floor(leftMs),
        resumeAfterId: isResumed ? this.#answer.lastEventId : undefined,
        isFreshNeeded: route.kind === RouteKind.Once,
      },
      events: {
        onHead: (head) => this.#readHead(head),
        onData: (data) => this.#readData(data),
        onSilence: (silentMs) => this.#mayReplace(upstream, silentMs),
        onEnd: () => this.#readEnd(),
        onFailure: (failure) => this.#readFailure(failure),
      },
    });
    this.#attempt.start();
  }

  /** Whether another upstream is to take the place of one that makes no progress. */
  #mayReplace(silent: DirectUpstream, silentMs: number): boolean {
    const { desk, route } = this.#options;
    if (silentMs < chooseSilenceMs(route, desk.usualPauseMs)) return false;
    return this.#retry.canReplace(silent.id, performance.now());
  }

  #readHead(head: AnswerHead): boolean {
    const isSuccess = head.status >= 200 && head.status < 300;
    if (this.#answer.isCommitted && !isSuccess) {
      this.#end(RefusalReason.UpstreamFailed, `a resumed stream was answered ${head.status}`);
      return false;
    }
    if (head.status >= STATUS_SERVER_ERROR && this.#retryElsewhere(head)) return false;
    this.#answerStatus = head.status;
    this.#answer.begin(head);
    return true;
  }

  /** Tries another upstream in place of passing a failure on. */
  #retryElsewhere(head: AnswerHead): boolean {
    const failed = this.#attempt;
    if (!failed || !mayRunAgain(this.#options.route)) return false;
    this.#tally.noteFailed(failed.upstream.id);
    const chosen = this.#retry.choose(performance.now());
    if (chosen.err) this.#report.noteNoRetry(chosen.val);
    if (chosen.err || !this.#retry.takeBudget(RetryReason.UpstreamFailed)) return false;
    this.#report.noteFailedAnswer(failed, head.status);
    failed.cancel();
    this.#send(chosen.val, false);
    return true;
  }

  /** @returns whether the answer came closer to its end */
  #readData(data: Buffer): boolean {
    const { events, isProgress, isCallerReady } = this.#answer.push(data);
    if (!isCallerReady) this.#pause();
    if (events > 0) this.#noteEvents();
    if (this.#answer.isOversized) this.#attempt?.refuseEndless('an event has no end');
    return isProgress;
  }

  #noteEvents(): void {
    const { route, desk } = this.#options;
    const nowMs = performance.now();
    const pauseMs = this.#times.noteEvents(nowMs);
    if (pauseMs === undefined) return;
    desk.notePause(pauseMs, route.pauseTargetMs, nowMs);
    this.#report.notePause(pauseMs);
  }

  #pause(): void {
    this.#isCallerSlow = true;
    this.#attempt?.pause();
  }

  #resume(): void {
    if (this.#isOver) return;
    this.#isCallerSlow = false;
    this.#times.noteResumed(performance.now());
    this.#attempt?.resume();
  }

  /**
   * Ends a stream whose caller has had nothing for as long as callers bear it, whatever an upstream
   * drips meanwhile. A caller that is slow itself is not out of patience.
   */
  #watchPatience(): void {
    const { route } = this.#options;
    if (route.kind !== RouteKind.Stream) return;
    const silentMs = this.#isCallerSlow ? 0 : this.#times.readSilentMs(performance.now());
    const leftMs = route.patienceMs - silentMs;
    if (leftMs > 0) {
      this.#patienceTimer = setTimeout(() => this.#watchPatience(), Math.ceil(leftMs));
      return;
    }
    const detail = `the caller has had nothing for ${Math.round(silentMs)} ms`;
    this.#end(RefusalReason.UpstreamSilent, detail);
  }

  #readEnd(): void {
    if (!this.#answer.end()) {
      this.#readFailure({
        isNotRun: false,
        reason: RefusalReason.UpstreamFailed,
        retryReason: RetryReason.StreamResumed,
        detail: 'the stream ended in the middle of an event',
      });
      return;
    }
    const { desk, route } = this.#options;
    if (this.#attempt) desk.capacity.noteAnswered(route.name, this.#attempt.ageMs);
    this.#report.noteAnswered(this.#attempt?.upstream.id, this.#answerStatus);
    this.#finish();
  }

  #readFailure(failure: AttemptFailure): void {
    const failed = this.#attempt;
    if (!failed || this.#isOver) return;
    this.#attempt = undefined;
    this.#tally.noteFailed(failed.upstream.id);
    if (failure.isNotRun) this.#tally.noteNotRun();
    this.#report.noteFailed(failed, failure);
    if (this.#retry.mayFollow(failure)) this.#follow(failure);
    else this.#end(failure.reason, failure.detail);
  }

  /** Makes another attempt after one that failed: now, or once the pool takes work again. */
  #follow(failure: AttemptFailure): void {
    const chosen = this.#retry.choose(performance.now());
    if (chosen.ok) {
      this.#sendAgain(chosen.val, failure);
      return;
    }
    const isWaiting = chosen.val === NoRetryReason.NoUpstream && this.#retry.isWorthWaiting;
    if (isWaiting) this.#await(failure);
    else this.#giveUp(failure, chosen.val);
  }

  /**
   * Waits for an upstream. When a group loses a rank all its streams break off at once, and those
   * whose callers are still there when the group is back can be completed.
   */
  #await(failure: AttemptFailure): void {
    const { desk, route } = this.#options;
    const nowMs = performance.now();
    const expected = this.#expectTimes(this.#times.servedMs);
    const silentMs = this.#times.readSilentMs(nowMs);
    const ticket: Ticket = {
      ...this.#ticketBase,
      isLate: true,
      waitBudgetMs: planLateWait(route, expected, this.#endAtMs - nowMs, silentMs),
      onTurn: (upstream) => this.#sendAgain(upstream, failure),
      onDenied: () => this.#giveUp(failure, NoRetryReason.NoUpstream),
    };
    desk.enterAgain(ticket);
  }

  #sendAgain(upstream: DirectUpstream, { reason, retryReason, detail }: AttemptFailure): void {
    if (this.#retry.takeBudget(retryReason)) this.#send(upstream, this.#answer.isCommitted);
    else this.#end(reason, detail);
  }

  #giveUp({ reason, detail }: AttemptFailure, noRetry: NoRetryReason): void {
    this.#report.noteNoRetry(noRetry);
    this.#end(reason, detail);
  }

  #readTimeout(): void {
    this.#end(RefusalReason.DeadlinePassed, 'the time of the request is over');
  }

  /** Ends the request without a whole answer, as not run only where that is proved. */
  #end(reason: RefusalReason, detail: string): void {
    const { desk } = this.#options;
    const nowMs = performance.now();
    if (this.#tally.mayHaveRun) {
      this.#refuse({ reason, outcome: Outcome.Unknown, retryAfterMs: 0, detail });
      return;
    }
    const limitMs = this.#returnLimitMs(nowMs);
    const { retryAfterMs } = desk.refuse(TurnDenial.Full, limitMs, nowMs);
    const isLate = reason === RefusalReason.DeadlinePassed;
    const told = isLate ? RefusalReason.DeadlineUnreachable : reason;
    this.#refuse({ reason: told, outcome: Outcome.NotRun, retryAfterMs, detail });
  }

  /** What was sent of a body that turns out too large may have had an effect already. */
  #refuseBody(): void {
    const outcome = this.#tally.mayHaveRun ? Outcome.Unknown : Outcome.NotRun;
    const detail = 'the body is larger than the configuration allows';
    this.#refuse({ reason: RefusalReason.BodyTooLarge, outcome, retryAfterMs: 0, detail });
  }

  #refuse(refusal: Refusal): void {
    if (this.#isOver) return;
    const { caller } = this.#options;
    this.#attempt?.cancel();
    this.#report.noteRefused(refusal, this.#answer.isCommitted);
    if (this.#answer.isCommitted) caller.abort(refusal);
    else caller.refuse(refusal);
    this.#finish(refusal);
  }

  /** The caller has hung up: nothing is worked on for it any more. */
  #leave(): void {
    if (this.#isOver) return;
    this.#attempt?.cancel();
    this.#report.noteLeft(this.#attempt?.upstream.id);
    this.#finish();
  }

  #finish(refusal?: Refusal): void {
    if (this.#isOver) return;
    this.#isOver = true;
    clearTimeout(this.#timer);
    clearTimeout(this.#patienceTimer);
    this.#options.desk.leave(this.#options.request.id);
    this.#report.noteEnd();
    this.#options.onDone(this, refusal);
  }
}
