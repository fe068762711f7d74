/**
 * One request's way through an entry that calls upstreams itself: its turn, its attempts, its end.
 *
 * It ends exactly once: by an upstream's answer, by a refusal, or by an answer that is visibly
 * broken off; at the latest when its route's or its caller's time is over.
 */
import { LogLevel, type LogFields } from '../ports/log.js';
import { Outcome, RefusalReason, RetryReason, type Refusal } from '../model/reason.js';
import type { Caller } from '../ports/caller.js';
import type { AnswerHead, ForwardedRequest } from '../ports/upstreamCaller.js';

import { AnswerBuilder } from './answerBuilder.js';
import { DirectAttempt, type AttemptFailure } from './directAttempt.js';
import type { DirectContext } from './directContext.js';
import type { DirectUpstream } from './directUpstream.js';
import type { PoolDesk } from './poolDesk.js';
import { RouteKind, type DirectWorkspace, type Route } from './routeTable.js';
import { planTurn } from './turnPlan.js';

const LOG_PART = 'request';

const STATUS_SERVER_ERROR = 500;

/** Part of the caller's remaining time after which it does not wait to come back. */
const RETURN_PART = 0.3;

/** Sends beyond the route's attempts where upstreams proved not to have run the request. */
const NOT_RUN_SENDS_MAX = 2;

/** Time targets after which a plain upstream that is silent is given up. */
const PLAIN_SILENCE_TARGETS = 2;

/** Silence of an engine before the first event, or after one, that is more than a slow pass. */
const STREAM_SILENCE_TARGETS = 2.5;

const STREAM_SILENCE_PAUSES = 6;

export interface DirectRunOptions {
  readonly context: DirectContext;
  readonly request: ForwardedRequest;
  readonly caller: Caller;
  readonly route: Route;
  readonly pool: string;
  readonly desk: PoolDesk;
  readonly workspace: DirectWorkspace | undefined;
  /** Time for which callers of the route wait when they come for the first time. */
  readonly firstDeadlineMs: number;
  readonly onDone: (run: DirectRun) => void;
}

/** One request from its acceptance to its end. */
export class DirectRun {
  readonly #options: DirectRunOptions;

  readonly #answer: AnswerBuilder;

  readonly #failed = new Set<string>();

  #attempt: DirectAttempt | undefined;

  #sends = 0;

  /** Sends of which it is not proved that they did not run. */
  #runs = 0;

  #answerStatus = 0;

  #waitedMs = 0;

  #firstMs: number | undefined;

  #longestPauseMs = 0;

  #eventAtMs = 0;

  #isOver = false;

  #timer: NodeJS.Timeout | undefined;

  constructor(options: DirectRunOptions) {
    this.#options = options;
    this.#answer = new AnswerBuilder(options.caller, options.route.kind === RouteKind.Stream);
    options.caller.onGone(() => this.#leave());
    options.caller.onDrain(() => this.#attempt?.resume());
  }

  get isStream(): boolean {
    return this.#options.route.kind === RouteKind.Stream;
  }

  start(): void {
    const { desk, route, request, workspace } = this.#options;
    const nowMs = performance.now();
    this.#timer = setTimeout(() => this.#readTimeout(), this.#endAtMs - nowMs);
    desk.enter(
      {
        id: request.id,
        priority: workspace?.priority ?? route.priority,
        ...planTurn(this.#options, desk.expectedFirstMs, nowMs),
        returnLimitMs: this.#returnLimitMs(nowMs),
        arrivedAtMs: request.arrivedAtMs,
        onTurn: (upstream) => {
          this.#waitedMs = performance.now() - request.arrivedAtMs;
          this.#send(upstream, false);
        },
        onRefused: (refusal) => this.#refuse(refusal),
      },
      nowMs,
    );
  }

  /** Ends the request as its entry is about to end. */
  breakOff(): void {
    if (this.#isOver) return;
    this.#end(RefusalReason.ShuttingDown, 'the entry ends');
  }

  get #endAtMs(): number {
    const { request, route } = this.#options;
    return request.arrivedAtMs + Math.min(route.timeoutMs, request.deadlineMs ?? route.timeoutMs);
  }

  #returnLimitMs(nowMs: number): number {
    const { request, route } = this.#options;
    const deadlineMs = request.deadlineMs ?? route.timeoutMs;
    return Math.max(0, request.arrivedAtMs + deadlineMs - nowMs) * RETURN_PART;
  }

  get #isRepeatable(): boolean {
    const { kind, isResumable } = this.#options.route;
    return kind === RouteKind.Repeatable || (kind === RouteKind.Stream && isResumable);
  }

  #send(upstream: DirectUpstream, isResumed: boolean): void {
    const { context, desk, request, route, workspace } = this.#options;
    const nowMs = performance.now();
    const leftMs = this.#endAtMs - nowMs;
    this.#sends += 1;
    this.#runs += 1;
    this.#writeSent(upstream, isResumed);
    this.#attempt = new DirectAttempt({
      context,
      desk,
      upstream,
      silenceLimitMs: this.#chooseSilenceMs(leftMs),
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
        onEnd: () => this.#readEnd(),
        onFailure: (failure) => this.#readFailure(failure),
      },
    });
    this.#attempt.start();
  }

  /** The choice, with what it was made by. */
  #writeSent(upstream: DirectUpstream, isResumed: boolean): void {
    const { board } = this.#options.context;
    const nowMs = performance.now();
    this.#write(LogLevel.Info, 'Sent.', {
      upstream: upstream.id,
      load: board.countLoad(upstream, nowMs),
      pace: upstream.readPace(nowMs),
      peersHeard: board.heardPeers.size,
      configVersion: board.table?.version,
      isResumed,
    });
  }

  /** What may run only once is waited for to the end. */
  #chooseSilenceMs(leftMs: number): number {
    const { route } = this.#options;
    if (!this.#isRepeatable || this.#sends >= route.attempts) return leftMs + 1;
    if (route.kind !== RouteKind.Stream) return route.targetMs * PLAIN_SILENCE_TARGETS;
    const byTargetMs = route.targetMs * STREAM_SILENCE_TARGETS;
    return Math.max(byTargetMs, route.pauseTargetMs * STREAM_SILENCE_PAUSES);
  }

  #readHead(head: AnswerHead): boolean {
    const isSuccess = head.status >= 200 && head.status < 300;
    if (this.#answer.isCommitted && !isSuccess) {
      this.#end(RefusalReason.UpstreamFailed, `a resumed stream was answered ${head.status}`);
      return false;
    }
    if (head.status >= STATUS_SERVER_ERROR && this.#isRepeatable && this.#retryElsewhere(head)) {
      return false;
    }
    this.#answerStatus = head.status;
    this.#answer.begin(head);
    return true;
  }

  /** Tries another upstream in place of passing a failure on. */
  #retryElsewhere(head: AnswerHead): boolean {
    const failed = this.#attempt;
    if (!failed) return false;
    this.#failed.add(failed.upstream.id);
    const upstream = this.#takeRetry(RetryReason.UpstreamFailed);
    if (!upstream) return false;
    this.#write(LogLevel.Info, 'Tries another upstream after a failure.', {
      upstream: failed.upstream.id,
      status: head.status,
    });
    failed.cancel();
    this.#send(upstream, false);
    return true;
  }

  #readData(data: Buffer): void {
    const { route, desk, request } = this.#options;
    const nowMs = performance.now();
    const { events, isCallerReady } = this.#answer.push(data);
    if (!isCallerReady) this.#attempt?.pause();
    if (events === 0) return;
    if (this.#firstMs === undefined) this.#firstMs = nowMs - request.arrivedAtMs;
    else {
      const pauseMs = nowMs - this.#eventAtMs;
      this.#longestPauseMs = Math.max(this.#longestPauseMs, pauseMs);
      desk.notePause(pauseMs, route.pauseTargetMs, nowMs);
    }
    this.#eventAtMs = nowMs;
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
    this.#options.context.metrics.count('request.answered', {
      status: String(this.#answerStatus),
    });
    this.#write(LogLevel.Info, 'Answered.', {
      upstream: this.#attempt?.upstream.id,
      status: this.#answerStatus,
    });
    this.#finish();
  }

  #readFailure(failure: AttemptFailure): void {
    const failed = this.#attempt;
    if (!failed || this.#isOver) return;
    this.#attempt = undefined;
    this.#failed.add(failed.upstream.id);
    if (failure.isNotRun) this.#runs -= 1;
    this.#write(LogLevel.Info, 'An attempt failed.', {
      upstream: failed.upstream.id,
      reason: failure.reason,
      detail: failure.detail,
      isNotRun: failure.isNotRun,
      attemptMs: Math.round(failed.ageMs),
    });
    const isSafe = failure.isNotRun || this.#isRepeatable;
    const isResumable = !this.#answer.isCommitted || this.#options.route.isResumable;
    const upstream = isSafe && isResumable ? this.#takeRetry(failure.retryReason) : undefined;
    if (upstream) this.#send(upstream, this.#answer.isCommitted);
    else this.#end(failure.reason, failure.detail);
  }

  /** An upstream for another attempt, where route, budget and time allow one. */
  #takeRetry(reason: RetryReason): DirectUpstream | undefined {
    const { context, desk, pool, route } = this.#options;
    const nowMs = performance.now();
    if (this.#runs >= route.attempts || nowMs >= this.#endAtMs) return undefined;
    if (this.#sends >= route.attempts + NOT_RUN_SENDS_MAX) return undefined;
    const upstream = desk.choose(this.#failed, nowMs);
    if (!upstream || !context.findBudget(pool).take(context.retryShare, nowMs)) return undefined;
    context.metrics.count('request.retried', { reason });
    return upstream;
  }

  #readTimeout(): void {
    this.#end(RefusalReason.DeadlinePassed, 'the time of the request is over');
  }

  /** Ends the request without a whole answer, as not run only where that is proved. */
  #end(reason: RefusalReason, detail: string): void {
    const { desk, request } = this.#options;
    const nowMs = performance.now();
    const mayHaveRun = this.#runs > 0;
    if (mayHaveRun) {
      this.#refuse({ reason, outcome: Outcome.Unknown, retryAfterMs: 0, detail });
      return;
    }
    desk.leave(request.id);
    const { retryAfterMs } = desk.refuseFull(this.#returnLimitMs(nowMs), nowMs);
    const isLate = reason === RefusalReason.DeadlinePassed;
    const told = isLate ? RefusalReason.DeadlineUnreachable : reason;
    this.#refuse({ reason: told, outcome: Outcome.NotRun, retryAfterMs, detail });
  }

  #refuse(refusal: Refusal): void {
    if (this.#isOver) return;
    const { context, caller, desk, pool } = this.#options;
    this.#attempt?.cancel();
    context.metrics.count('request.refused', { reason: refusal.reason });
    this.#write(LogLevel.Info, 'Not answered.', {
      reason: refusal.reason,
      outcome: refusal.outcome,
      retryAfterMs: Math.round(refusal.retryAfterMs),
      detail: refusal.detail,
      isBegun: this.#answer.isCommitted,
      waiting: desk.waitingCount,
      pool,
    });
    if (this.#answer.isCommitted) caller.abort(refusal);
    else caller.refuse(refusal);
    this.#finish();
  }

  /** The caller has hung up: nothing is worked on for it any more. */
  #leave(): void {
    if (this.#isOver) return;
    this.#options.desk.leave(this.#options.request.id);
    this.#attempt?.cancel();
    this.#options.context.metrics.count('request.refused', { reason: RefusalReason.CallerGone });
    this.#write(LogLevel.Info, 'The caller has left.', { upstream: this.#attempt?.upstream.id });
    this.#finish();
  }

  #finish(): void {
    if (this.#isOver) return;
    this.#isOver = true;
    clearTimeout(this.#timer);
    this.#options.onDone(this);
  }

  #write(level: LogLevel, sentence: string, fields: LogFields): void {
    const { context, request, route } = this.#options;
    context.log.write(level, LOG_PART, sentence, {
      id: request.id,
      route: route.name,
      ageMs: Math.round(performance.now() - request.arrivedAtMs),
      waitedMs: Math.round(this.#waitedMs),
      firstMs: this.#firstMs === undefined ? undefined : Math.round(this.#firstMs),
      longestPauseMs: Math.round(this.#longestPauseMs),
      sends: this.#sends,
      limit: Math.round(this.#options.desk.limitPerUpstream * 10) / 10,
      ...fields,
    });
  }
}
