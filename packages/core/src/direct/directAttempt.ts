/**
 * One request at one upstream that this entry calls itself.
 *
 * It keeps the counts of the upstream, watches for silence, and tells its run what came: the head,
 * whole events or bytes, and how it ended. It ends exactly once.
 */
import { RefusalReason, RetryReason } from '../model/reason.js';
import { LogLevel } from '../ports/log.js';
import {
  CallFailureKind,
  type AnswerHead,
  type CallInProgress,
  type UpstreamCall,
} from '../ports/upstreamCaller.js';

import type { DirectContext } from './directContext.js';
import type { DirectUpstream } from './directUpstream.js';
import { LeavingNews } from './fleetBoard.js';
import type { PoolAdmission } from './poolAdmission.js';

const LOG_PART = 'membership';

/** Time between two looks at an upstream that is silent and cannot be replaced yet. */
const SILENCE_RECHECK_MS = 200;

/** Time within which another answer of the pool shows that it is not the pool that is silent. */
const POOL_LIVE_WINDOW_MS = 300;

/** Time for which an upstream is left alone whose address another one has now. */
const MISDIRECTED_BACKOFF_MS = 3_000;

/** Time for which a full upstream is left alone. */
const FULL_BACKOFF_MS = 150;

/** How an attempt ended without a whole answer. */
export interface AttemptFailure {
  /** Whether it is proved that the request has not run there and never will. */
  readonly isNotRun: boolean;
  readonly reason: RefusalReason;
  readonly retryReason: RetryReason;
  readonly detail: string;
}

/** What a run hears of its attempt. */
export interface AttemptEvents {
  /** @returns false where the answer is not taken; the attempt is over then */
  readonly onHead: (head: AnswerHead) => boolean;
  /** @returns whether the answer came closer to its end */
  readonly onData: (data: Buffer) => boolean;
  /**
   * Hears that the answer has made no progress for a span.
   *
   * @returns whether another upstream is to take the silent one's place now
   */
  readonly onSilence: (silentMs: number) => boolean;
  readonly onEnd: () => void;
  readonly onFailure: (failure: AttemptFailure) => void;
}

export interface DirectAttemptOptions {
  readonly context: DirectContext;
  readonly admission: PoolAdmission;
  readonly upstream: DirectUpstream;
  readonly call: UpstreamCall;
  /** Time without progress of the answer after which `onSilence` is told. */
  readonly silenceLimitMs: number;
  readonly events: AttemptEvents;
}

const DECLINED_BY_UPSTREAM: AttemptFailure = {
  isNotRun: true,
  reason: RefusalReason.UpstreamFull,
  retryReason: RetryReason.UpstreamRefused,
  detail: 'the upstream did not take it',
};

function createLostFailure(reason: RefusalReason, detail: string): AttemptFailure {
  return { isNotRun: false, reason, retryReason: RetryReason.UpstreamFailed, detail };
}

/** An attempt in progress. */
export class DirectAttempt {
  readonly upstream: DirectUpstream;

  readonly #options: DirectAttemptOptions;

  readonly #sentAtMs = performance.now();

  #call: CallInProgress | undefined;

  #silenceTimer: NodeJS.Timeout | undefined;

  #progressAtMs = this.#sentAtMs;

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

  start(): void {
    const { upstreams } = this.#options.context;
    this.#options.context.board.addInFlight(this.upstream, 1);
    this.upstream.awaitingFirstOutput += 1;
    this.upstream.startRate.noteStart(this.#sentAtMs);
    this.#options.admission.noteStart(this.#sentAtMs);
    this.#watchSilence(this.#options.silenceLimitMs);
    this.#call = upstreams.call(this.#options.call, {
      onHead: (head) => this.#handleHead(head),
      onData: (data) => this.#handleData(data),
      onEnd: () => this.#handleEnd(),
      onFailure: (kind, detail) => this.#handleFailure(kind, detail),
    });
    if (this.#isOver) this.#call.cancel();
  }

  /** Ends the work at the upstream; its run hears nothing more. */
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

  /** Gives up what has no end. */
  failEndless(detail: string): void {
    if (this.#isOver) return;
    const { admission, context } = this.#options;
    admission.noteFailure();
    context.metrics.count('upstream.endless');
    this.#fail(createLostFailure(RefusalReason.UpstreamFailed, detail), true);
  }

  resume(): void {
    if (this.#isOver || !this.#isPaused) return;
    this.#isPaused = false;
    this.#watchSilence(this.#options.silenceLimitMs);
    this.#call?.resume();
  }

  #handleHead(head: AnswerHead): void {
    if (this.#isOver) return;
    const nowMs = performance.now();
    this.#progressAtMs = nowMs;
    this.#applyUpstreamState(head, nowMs);
    if (!head.isOwn) {
      this.#fail(
        createLostFailure(RefusalReason.UpstreamFailed, 'an answer to another request came'),
      );
    } else if (head.isMisdirected) {
      this.upstream.backOff(nowMs + MISDIRECTED_BACKOFF_MS);
      this.#end(DECLINED_BY_UPSTREAM);
    } else if (head.isNotRun) {
      this.upstream.backOff(nowMs + (head.restMs ?? FULL_BACKOFF_MS));
      this.#options.admission.noteFailure();
      this.#end(DECLINED_BY_UPSTREAM);
    } else if (!head.isGenuine) {
      this.#fail(
        createLostFailure(RefusalReason.UpstreamFailed, 'the answer is not of the upstream'),
      );
    } else if (!this.#options.events.onHead(head)) this.cancel();
  }

  /** Takes in what the upstream says of itself beside its answer. */
  #applyUpstreamState(head: AnswerHead, nowMs: number): void {
    const { board } = this.#options.context;
    if (head.isLeaving && !head.isMisdirected) {
      board.noteLeaving(this.upstream, LeavingNews.Upstream);
    }
    if (!head.isOwn || head.isMisdirected) return;
    if (head.load) this.upstream.noteLoad(head.load, nowMs);
    if (head.restMs !== undefined) this.upstream.backOff(nowMs + head.restMs);
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
    this.#options.admission.noteFirstOutput(nowMs - this.#sentAtMs, nowMs);
  }

  #handleEnd(): void {
    if (this.#isOver) return;
    const nowMs = performance.now();
    this.#noteFirstOutput(nowMs);
    this.upstream.ejection.noteSuccess();
    this.#options.context.metrics.timing('upstream.time', nowMs - this.#sentAtMs);
    this.#finish();
    this.#options.events.onEnd();
  }

  #handleFailure(kind: CallFailureKind, detail: string): void {
    if (this.#isOver) return;
    if (kind === CallFailureKind.Endless) {
      this.failEndless(detail);
      return;
    }
    this.#options.admission.noteFailure();
    if (kind === CallFailureKind.Lost) {
      this.#fail(createLostFailure(RefusalReason.UpstreamFailed, detail));
      return;
    }
    this.#fail({
      isNotRun: true,
      reason: RefusalReason.NoUpstream,
      retryReason: RetryReason.UpstreamUnreachable,
      detail,
    });
  }

  #watchSilence(limitMs: number): void {
    clearTimeout(this.#silenceTimer);
    this.#silenceTimer = setTimeout(() => this.#handleSilence(), limitMs);
  }

  /**
   * An upstream that is silent with its whole pool is waited for: another one is no better. So is
   * one for which there is no other: it may be slow and sound.
   */
  #handleSilence(): void {
    const nowMs = performance.now();
    const { admission, events } = this.#options;
    const silentMs = Math.round(nowMs - this.#progressAtMs);
    if (!admission.isLive(nowMs, POOL_LIVE_WINDOW_MS) || !events.onSilence(silentMs)) {
      this.#watchSilence(SILENCE_RECHECK_MS);
      return;
    }
    this.#call?.cancel();
    this.#fail({
      isNotRun: false,
      reason: RefusalReason.UpstreamSilent,
      retryReason: RetryReason.ProgressTimeout,
      detail: `the upstream made no progress for ${silentMs} ms`,
    });
  }

  #fail(failure: AttemptFailure, isSevere = false): void {
    const nowMs = performance.now();
    const { context } = this.#options;
    if (this.upstream.ejection.noteFailure(nowMs, isSevere)) {
      context.metrics.count('upstream.distrusted');
      context.log.write(LogLevel.Warn, LOG_PART, 'An upstream is distrusted.', {
        id: this.upstream.id,
        forMs: Math.round(this.upstream.ejection.readEjectedMs(nowMs)),
        reason: failure.reason,
        detail: failure.detail,
      });
    }
    this.#end(failure);
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
    this.#options.admission.noteEnd();
  }
}
