/**
 * One attempt at a request, at one upstream that this entry calls itself.
 *
 * Maintains the upstream's in-flight counts, watches for silence, and reports the response to its
 * request: the head, the data, and how it ended. It ends exactly once.
 */
import { RefusalReason, RetryReason } from '../model/reason.js';
import { LogLevel } from '../ports/log.js';
import {
  CallFailureKind,
  type AnswerHead,
  type CallInProgress,
  type UpstreamCall,
} from '../ports/upstreamCaller.js';
import type { AnswerFraming } from '../ports/caller.js';

import { AttemptEnding } from './attemptEnding.js';
import type { RequestCost } from './cost/requestCost.js';
import type { AttemptWork } from './cost/attemptWork.js';
import type { DirectContext } from './directContext.js';
import type { DirectUpstream } from './directUpstream.js';
import { LeavingSource } from './fleetBoard.js';
import type { PoolAdmission } from './poolAdmission.js';
import { ResponseEnd } from './responseEnd.js';
import type { WorkspaceClaim } from './sharing/workspaceClaim.js';

const LOG_PART = 'membership';

/** Interval between checks of a silent upstream that cannot be replaced yet, in milliseconds. */
const SILENCE_RECHECK_MS = 200;

/**
 * Time window, in milliseconds, within which output of other requests shows that the pool is
 * responsive.
 */
const POOL_LIVE_WINDOW_MS = 300;

/** Backoff, in milliseconds, for an upstream whose address now belongs to another one. */
const MISDIRECTED_BACKOFF_MS = 3_000;

/** Backoff, in milliseconds, for a full upstream that names no time itself. */
const FULL_BACKOFF_MS = 150;

/** How an attempt ended without a complete response. */
export interface AttemptFailure {
  /** Whether it is proved that the request did not run at this upstream and never will. */
  readonly isNotRun: boolean;
  /** Whether the connection broke, as it does when the upstream crashes. */
  readonly isConnectionLost: boolean;
  readonly reason: RefusalReason;
  readonly retryReason: RetryReason;
  readonly ending: AttemptEnding;
  readonly detail: string;
}

/** Events of an attempt, as reported to its request. */
export interface AttemptEvents {
  /** @returns false where the response is not accepted; that ends the attempt */
  readonly onHead: (head: AnswerHead) => boolean;
  /** @returns whether the response made progress */
  readonly onData: (data: Buffer) => boolean;
  /**
   * Reports that the response has made no progress for a time.
   *
   * @param isPoolLive whether other responses of the pool make progress
   * @returns whether another upstream is to replace the silent one now
   */
  readonly onSilence: (silentMs: number, isPoolLive: boolean) => boolean;
  /** Assesses the end of the response, all of which has been received. */
  readonly assessEnd: () => ResponseEnd;
  /** The response is complete. */
  readonly onEnd: () => void;
  /** The response has ended, but may be incomplete; see {@link DirectAttempt.settle}. */
  readonly onUnconfirmedEnd: () => void;
  readonly onFailure: (failure: AttemptFailure) => void;
  /**
   * An exception was thrown while the response was handled. The attempt is over; its end may have
   * been reported.
   */
  readonly onFault: (error: Error) => void;
}

export interface DirectAttemptOptions {
  readonly context: DirectContext;
  readonly admission: PoolAdmission;
  readonly claim?: WorkspaceClaim | undefined;
  readonly upstream: DirectUpstream;
  readonly call: UpstreamCall;
  /** Time without progress of the response after which `onSilence` is called. */
  readonly silenceLimitMs: number;
  /** Predicted work; undefined where the pool's engines have no configured costs. */
  readonly cost: RequestCost | undefined;
  /** Events that earlier attempts at the request have given. */
  readonly earlierEvents: number;
  readonly events: AttemptEvents;
}

const DECLINED_BY_UPSTREAM: AttemptFailure = {
  isNotRun: true,
  isConnectionLost: false,
  reason: RefusalReason.UpstreamFull,
  retryReason: RetryReason.UpstreamRefused,
  ending: AttemptEnding.Declined,
  detail: 'the upstream declined the request',
};

const MISDIRECTED_DETAIL = 'another upstream answered and did not state that nothing was run';

function createLostFailure(ending: AttemptEnding, detail: string): AttemptFailure {
  const reason = RefusalReason.UpstreamFailed;
  const retryReason = RetryReason.UpstreamFailed;
  return { isNotRun: false, isConnectionLost: false, reason, retryReason, ending, detail };
}

/** Failures of streams whose HTTP response ended regularly. */
const TRUNCATED = {
  isNotRun: false,
  isConnectionLost: true,
  reason: RefusalReason.UpstreamFailed,
  retryReason: RetryReason.StreamResumed,
};

const ENDED_WITHIN_EVENT: AttemptFailure = {
  ...TRUNCATED,
  ending: AttemptEnding.WithinEvent,
  detail: 'the stream ended within an event',
};

const ENDED_EMPTY: AttemptFailure = {
  ...TRUNCATED,
  ending: AttemptEnding.Empty,
  detail: 'the stream ended with its connection and without any event',
};

/** Not a failure of the upstream, which may have had no event to give. */
const INCONCLUSIVE: AttemptFailure = { ...ENDED_EMPTY, isConnectionLost: false };

const REFUTED_END: AttemptFailure = {
  ...TRUNCATED,
  ending: AttemptEnding.Unconfirmed,
  detail: 'the stream ended before its last event',
};

/** An attempt in progress. */
export class DirectAttempt {
  readonly upstream: DirectUpstream;

  readonly #options: DirectAttemptOptions;

  readonly #sentAtMs = performance.now();

  #call: CallInProgress | undefined;

  #work: AttemptWork | undefined;

  #silenceTimer: NodeJS.Timeout | undefined;

  #progressAtMs = this.#sentAtMs;

  #framing: AnswerFraming | undefined;

  #eventCount = 0;

  #hasOutput = false;

  #isPaused = false;

  #isOver = false;

  constructor(options: DirectAttemptOptions) {
    this.#options = options;
    this.upstream = options.upstream;
  }

  /** Time since the request was sent. */
  get ageMs(): number {
    return performance.now() - this.#sentAtMs;
  }

  /** Whether the upstream has begun to respond. */
  get hasHead(): boolean {
    return this.#framing !== undefined;
  }

  /** How the end of the response is delimited; undefined before its head. */
  get framing(): AnswerFraming | undefined {
    return this.#framing;
  }

  /** Complete events of the response. */
  get eventCount(): number {
    return this.#eventCount;
  }

  /** Whether any part of the response body has arrived. */
  get hasOutput(): boolean {
    return this.#hasOutput;
  }

  start(): void {
    const { context, cost, earlierEvents } = this.#options;
    const { upstreams } = context;
    context.board.addInFlight(this.upstream, 1);
    if (cost) {
      const options = { cost, earlierEvents, sentAtMs: this.#sentAtMs };
      this.#work = context.board.work.begin(this.upstream, options);
    }
    this.upstream.awaitingFirstOutput += 1;
    this.upstream.startRate.noteStart(this.#sentAtMs);
    this.#options.context.board.permits.noteStart(this.upstream.incarnation, this.#sentAtMs);
    this.#options.admission.noteStart(this.#sentAtMs, this.#options.claim);
    this.#watchSilence(this.#options.silenceLimitMs);
    this.#call = upstreams.call(this.#options.call, {
      onHead: (head) => this.#handleHead(head),
      onData: (data) => this.#handleData(data),
      onEnd: () => this.#handleEnd(),
      onFailure: (kind, detail) => this.#handleFailure(kind, detail),
      onFault: (error) => this.#handleFault(error),
    });
    if (this.#isOver) this.#call.cancel();
  }

  /** Cancels the call at the upstream. No further events are reported. */
  cancel(): void {
    if (this.#isOver) return;
    this.#finish();
    this.#call?.cancel();
  }

  pause(): void {
    this.#isPaused = true;
    clearTimeout(this.#silenceTimer);
    this.#call?.pause();
  }

  /** Fails the attempt, as its response or one of its events has no end. */
  failEndless(detail: string): void {
    if (this.#isOver) return;
    const { admission, context } = this.#options;
    admission.noteFailure();
    context.metrics.count('upstream.endless');
    this.#fail(createLostFailure(AttemptEnding.Endless, detail), true);
  }

  /** Fails the attempt, as it did not resume the stream after the last event. */
  failMisplaced(lastEventId: string): void {
    if (this.#isOver) return;
    const detail = `the stream was not resumed after event "${lastEventId}"`;
    this.#options.admission.noteFailure();
    this.#options.context.metrics.count('stream.resume.misplaced');
    this.#fail(createLostFailure(AttemptEnding.Misplaced, detail));
  }

  resume(): void {
    if (this.#isOver || !this.#isPaused) return;
    this.#isPaused = false;
    this.#watchSilence(this.#options.silenceLimitMs);
    this.#call?.resume();
  }

  /** Records complete events of the response. */
  noteEvents(count: number): void {
    this.#eventCount += count;
    this.#work?.noteEvents(count);
  }

  #handleHead(head: AnswerHead): void {
    if (this.#isOver) return;
    const nowMs = performance.now();
    this.#progressAtMs = nowMs;
    this.#framing = head.framing;
    this.#applyUpstreamState(head, nowMs);
    if (!head.isForThisRequest) {
      this.#fail(
        createLostFailure(AttemptEnding.Foreign, 'the response belongs to another request'),
      );
    } else if (head.isMisdirected) {
      this.upstream.backOff(nowMs + MISDIRECTED_BACKOFF_MS);
      this.#end(
        head.isNotRun
          ? DECLINED_BY_UPSTREAM
          : createLostFailure(AttemptEnding.Foreign, MISDIRECTED_DETAIL),
      );
    } else if (head.isNotRun) {
      this.upstream.backOff(nowMs + (head.backoffMs ?? FULL_BACKOFF_MS));
      this.#options.admission.noteFailure();
      this.#end(DECLINED_BY_UPSTREAM);
    } else if (!head.isGenuine) {
      this.#fail(
        createLostFailure(AttemptEnding.Foreign, 'the response is not from the upstream itself'),
      );
    } else if (!this.#options.events.onHead(head)) this.cancel();
  }

  /**
   * Applies the state that the upstream reports in the head of its response: leaving, load and
   * backoff.
   */
  #applyUpstreamState(head: AnswerHead, nowMs: number): void {
    const { board } = this.#options.context;
    if (head.isLeaving && !head.isMisdirected) {
      board.noteLeaving(this.upstream, LeavingSource.Upstream);
    }
    if (!head.isForThisRequest || head.isMisdirected) return;
    board.limits.noteAnswer(this.upstream.entry, head.requestLimit, this.#sentAtMs);
    if (head.load) this.upstream.noteLoad(head.load, nowMs);
    if (head.backoffMs !== undefined) this.upstream.backOff(nowMs + head.backoffMs);
  }

  #handleData(data: Buffer): void {
    if (this.#isOver) return;
    const isProgress = this.#options.events.onData(data);
    if (this.#isOver || !isProgress) return;
    const nowMs = performance.now();
    this.#progressAtMs = nowMs;
    this.#noteFirstOutput(nowMs);
    if (!this.#isPaused) this.#watchSilence(this.#options.silenceLimitMs);
  }

  #noteFirstOutput(nowMs: number): void {
    if (this.#hasOutput) return;
    this.#hasOutput = true;
    this.upstream.awaitingFirstOutput -= 1;
    if (this.#work) this.#options.context.board.work.noteFirstOutput(this.upstream, this.#work);
    this.#options.admission.noteFirstOutput(nowMs - this.#sentAtMs, nowMs);
  }

  #handleEnd(): void {
    if (this.#isOver) return;
    const { admission, context, events } = this.#options;
    const end = events.assessEnd();
    if (end === ResponseEnd.Inconclusive) {
      this.#end(INCONCLUSIVE);
      return;
    }
    if (end === ResponseEnd.WithinEvent || end === ResponseEnd.Empty) {
      admission.noteFailure();
      this.#fail(end === ResponseEnd.Empty ? ENDED_EMPTY : ENDED_WITHIN_EVENT);
      return;
    }
    const nowMs = performance.now();
    this.#noteFirstOutput(nowMs);
    context.metrics.timing('upstream.time', nowMs - this.#sentAtMs);
    this.#finish();
    if (end === ResponseEnd.Unconfirmed) {
      events.onUnconfirmedEnd();
      return;
    }
    this.settle(true);
    events.onEnd();
  }

  /** Records with the upstream whether the response, which has ended, was complete. */
  settle(isComplete: boolean): void {
    if (isComplete) this.upstream.ejection.noteSuccess();
    else this.#noteFailure(REFUTED_END, false);
  }

  #handleFailure(kind: CallFailureKind, detail: string): void {
    if (this.#isOver) return;
    if (kind === CallFailureKind.Endless) {
      this.failEndless(detail);
      return;
    }
    this.#options.admission.noteFailure();
    if (kind === CallFailureKind.Lost) {
      const failure = createLostFailure(AttemptEnding.ConnectionLost, detail);
      this.#fail({ ...failure, isConnectionLost: true });
      return;
    }
    this.#fail({
      isNotRun: true,
      isConnectionLost: false,
      reason: RefusalReason.NoUpstream,
      retryReason: RetryReason.UpstreamUnreachable,
      ending: AttemptEnding.NotSent,
      detail,
    });
  }

  #handleFault(error: Error): void {
    if (!this.#isOver) {
      this.#finish();
      const detail = `internal error: ${error.message}`;
      this.#noteFailure(createLostFailure(AttemptEnding.InternalError, detail), false);
    }
    this.#options.events.onFault(error);
  }

  #watchSilence(limitMs: number): void {
    clearTimeout(this.#silenceTimer);
    this.#silenceTimer = setTimeout(() => this.#handleSilence(), limitMs);
  }

  /** Keeps waiting where no other upstream is available, as the silent one may only be slow. */
  #handleSilence(): void {
    const nowMs = performance.now();
    const { admission, events } = this.#options;
    const silentMs = Math.round(nowMs - this.#progressAtMs);
    if (!events.onSilence(silentMs, admission.isLive(nowMs, POOL_LIVE_WINDOW_MS))) {
      this.#watchSilence(SILENCE_RECHECK_MS);
      return;
    }
    this.#call?.cancel();
    this.#fail({
      isNotRun: false,
      isConnectionLost: false,
      reason: RefusalReason.UpstreamSilent,
      retryReason: RetryReason.ProgressTimeout,
      ending: AttemptEnding.Silent,
      detail: `the upstream made no progress for ${silentMs} ms`,
    });
  }

  #fail(failure: AttemptFailure, isSevere = false): void {
    this.#noteFailure(failure, isSevere);
    this.#end(failure);
  }

  /** Ejects the upstream if it has failed too often. */
  #noteFailure({ reason, ending, detail }: AttemptFailure, isSevere: boolean): void {
    const nowMs = performance.now();
    const { context, call } = this.#options;
    if (!this.upstream.ejection.noteFailure(nowMs, isSevere)) return;
    context.metrics.count('upstream.distrusted');
    context.log.write(LogLevel.Warn, LOG_PART, 'Upstream ejected.', {
      id: this.upstream.id,
      forMs: Math.round(this.upstream.ejection.readEjectedMs(nowMs)),
      reason,
      ending,
      detail,
      request: call.request.id,
    });
  }

  #end(failure: AttemptFailure): void {
    this.#finish();
    this.#call?.cancel();
    this.#options.events.onFailure(failure);
  }

  #finish(): void {
    this.#isOver = true;
    clearTimeout(this.#silenceTimer);
    this.#options.context.board.addInFlight(this.upstream, -1);
    if (!this.#hasOutput) this.upstream.awaitingFirstOutput -= 1;
    if (this.#work) this.#options.context.board.work.end(this.upstream, this.#work);
    this.#options.admission.noteEnd(this.#options.claim);
  }
}
