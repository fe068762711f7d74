/**
 * One attempt in the side process: the call to the engine and the delivery of its response.
 *
 * An attempt outlives the link that submitted it. A non-repeatable attempt runs to completion once
 * the engine has received it. A repeatable one is cancelled at its deadline, on request, and when
 * no entry inquires about it after its link is lost.
 */
import { AttemptState, MessageType, type MessageOf } from '../messages/message.js';
import { Outcome, RefusalReason } from '../model/reason.js';
import type { HeaderMap } from '../model/request.js';
import {
  EngineFailureKind,
  type Engine,
  type EngineFailure,
  type EngineRun,
} from '../ports/engine.js';

import { ResponseDelivery } from './responseDelivery.js';
import type { AttemptOwner } from './attemptOwner.js';
import { AttemptExit, type ConcurrencyPermit } from './concurrencyLimiter.js';
import type { LinkSession } from './linkSession.js';
import { readClockMs } from './sideClock.js';

/** The engine is paused when more bytes than this wait for credit. */
const PAUSE_THRESHOLD_BYTES = 131_072;

/** The engine is resumed when fewer bytes than this wait for credit. */
const RESUME_THRESHOLD_BYTES = 32_768;

/** Longest delay that `setTimeout` supports. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Largest response, or tail of one, that is kept for a non-repeatable attempt. */
export const MAX_REPLAY_BYTES_PER_ATTEMPT = 1_048_576;

export enum AttemptPhase {
  Running = 'running',
  /** The complete response was received. */
  Finished = 'finished',
  /** It is proved that the engine did not run the request. */
  NotRun = 'not-run',
  /** It may have run, and there is no complete response. */
  Lost = 'lost',
}

/** Dependencies and limits of one attempt. */
export interface AttemptOptions {
  readonly permit: ConcurrencyPermit;
  readonly owner: AttemptOwner;
  /** Time without a session after which a repeatable attempt is cancelled. */
  readonly orphanLimitMs: number;
}

const EXIT_BY_FAILURE: Readonly<Record<EngineFailureKind, AttemptExit>> = {
  [EngineFailureKind.NotSent]: AttemptExit.NotSent,
  [EngineFailureKind.Declined]: AttemptExit.Declined,
  [EngineFailureKind.Lost]: AttemptExit.Broken,
};

/** State machine of one attempt. */
export class Attempt {
  readonly id: string;

  readonly isRepeatable: boolean;

  /** Tick of this process's clock that the submission echoed. */
  readonly echoTickMs: number;

  readonly permit: ConcurrencyPermit;

  readonly #options: AttemptOptions;

  readonly #delivery: ResponseDelivery;

  #phase = AttemptPhase.Running;

  #run: EngineRun | undefined;

  #isPaused = false;

  /** Whether the end of the call has been reported to the owner. */
  #hasExited = false;

  #hasFirstByte = false;

  #lastChunkAtMs: number | undefined;

  #deadlineAtMs = Number.NEGATIVE_INFINITY;

  #deadlineTimer: NodeJS.Timeout | undefined;

  #orphanTimer: NodeJS.Timeout | undefined;

  #detachedAtMs = Number.NEGATIVE_INFINITY;

  /** @param submit not retained: an attempt is remembered longer than its request is needed */
  constructor(submit: MessageOf<MessageType.Submit>, options: AttemptOptions) {
    this.id = submit.attemptId;
    this.isRepeatable = submit.isRepeatable;
    this.echoTickMs = submit.echoTickMs;
    this.permit = options.permit;
    this.#options = options;
    this.#delivery = new ResponseDelivery(this.id);
  }

  get phase(): AttemptPhase {
    return this.#phase;
  }

  get session(): LinkSession | undefined {
    return this.#delivery.session;
  }

  get heldBytes(): number {
    return this.#delivery.heldBytes;
  }

  /** Whether the response is complete and has been sent in full to the attached session. */
  get isDelivered(): boolean {
    return this.#phase === AttemptPhase.Finished && this.#delivery.isEndSent;
  }

  /**
   * Whether an entry may still need the result of the attempt.
   *
   * @param orphanGraceMs time after the loss of its session in which an entry may still inquire
   */
  isAwaited(nowMs: number, orphanGraceMs: number): boolean {
    if (this.#phase === AttemptPhase.Running) return true;
    if (!this.session) return nowMs - this.#detachedAtMs <= orphanGraceMs;
    return this.#phase === AttemptPhase.Finished && !this.isDelivered;
  }

  /** Whether a session waits for the rest of a complete response before the deadline. */
  isWaiting(nowMs: number): boolean {
    const isDue = this.#phase === AttemptPhase.Finished && nowMs <= this.#deadlineAtMs;
    return isDue && this.session !== undefined && !this.isDelivered;
  }

  /** Starts the call to the engine and delivers its response to the session. */
  start(submit: MessageOf<MessageType.Submit>, engine: Engine, session: LinkSession): void {
    this.#delivery.attach(session, 0, submit.creditBytes);
    const remainingMs = Math.min(submit.remainingMs, MAX_TIMER_MS);
    this.#deadlineAtMs = readClockMs() + remainingMs;
    this.#deadlineTimer = setTimeout(() => this.abandon(RefusalReason.DeadlinePassed), remainingMs);
    this.#run = engine.start(
      {
        attemptId: this.id,
        method: submit.method,
        path: submit.path,
        headers: submit.headers,
        body: submit.body,
        priority: submit.priority,
      },
      {
        onRequestLimit: (named) => this.#options.owner.onRequestLimit(this, named),
        onHead: (status, headers) => this.#handleHead(status, headers),
        onData: (data) => this.#handleData(data),
        onEnd: () => this.#handleEnd(),
        onFailure: (failure) => this.#handleFailure(failure),
        onFault: (error) => this.#handleFault(error),
      },
    );
    this.#updateBackpressure();
  }

  /** State reported to an inquiry that wants the response from an offset. */
  determineState(fromOffset: number): AttemptState {
    if (this.#phase === AttemptPhase.NotRun) return AttemptState.Dead;
    if (this.#phase === AttemptPhase.Lost) return AttemptState.Lost;
    if (!this.#delivery.canSendFrom(fromOffset)) return AttemptState.Lost;
    return this.#phase === AttemptPhase.Running ? AttemptState.Running : AttemptState.Finished;
  }

  /** Moves delivery to another session, from an offset that {@link determineState} allows. */
  attach(session: LinkSession, fromOffset: number, creditBytes: number): void {
    clearTimeout(this.#orphanTimer);
    this.#delivery.attach(session, fromOffset, creditBytes);
    this.#updateBackpressure();
  }

  /** Continues without a session; a repeatable attempt is cancelled if none attaches in time. */
  detach(): void {
    this.#delivery.detach();
    this.#detachedAtMs = readClockMs();
    this.#updateBackpressure();
    if (!this.isRepeatable || this.#phase !== AttemptPhase.Running) return;
    this.#orphanTimer = setTimeout(() => this.#cancelRun(), this.#options.orphanLimitMs);
  }

  grantCredit(upToOffset: number): void {
    this.#delivery.grantCredit(upToOffset);
    this.#trimReplayBuffer();
    this.#updateBackpressure();
  }

  /**
   * Cancels a repeatable attempt, or drops its complete response; a non-repeatable one continues
   * without a session.
   */
  cancel(): void {
    if (!this.isRepeatable) this.detach();
    else if (this.#phase === AttemptPhase.Finished) this.discardResponse();
    else this.#cancelRun();
  }

  /** Cancels a running repeatable attempt and reports the reason to the entry. */
  abandon(reason: RefusalReason): void {
    if (!this.isRepeatable || this.#phase !== AttemptPhase.Running) return;
    this.#sendFailed(reason, Outcome.Unknown);
    this.#cancelRun();
  }

  /** Drops the kept response; the attempt itself is still remembered. */
  discardResponse(): void {
    this.#delivery.discard();
  }

  #handleHead(status: number, headers: HeaderMap): void {
    if (this.#phase !== AttemptPhase.Running) return;
    this.#recordFirstByte();
    this.#delivery.writeHead(status, headers);
  }

  #handleData(data: Uint8Array): void {
    if (this.#phase !== AttemptPhase.Running) return;
    this.#recordFirstByte();
    this.#recordChunk();
    this.#delivery.writeData(data);
    this.#trimReplayBuffer();
    this.#updateBackpressure();
  }

  #handleEnd(): void {
    if (!this.#end(AttemptPhase.Finished)) return;
    this.#delivery.complete();
    this.#exit(AttemptExit.Completed);
  }

  #handleFailure(failure: EngineFailure): void {
    const isLost = failure.kind === EngineFailureKind.Lost || this.#hasFirstByte;
    if (!this.#end(isLost ? AttemptPhase.Lost : AttemptPhase.NotRun)) return;
    const isDeclined = failure.kind === EngineFailureKind.Declined;
    const reason = isDeclined ? RefusalReason.UpstreamFull : RefusalReason.UpstreamFailed;
    this.#sendFailed(reason, isLost ? Outcome.Unknown : Outcome.NotRun);
    this.#delivery.discard();
    this.#exit(EXIT_BY_FAILURE[failure.kind]);
  }

  /** Ends the attempt after an exception, unless its end has been reported. */
  #handleFault(error: Error): void {
    this.#options.owner.onFault(this, error);
    if (this.#hasExited) return;
    this.#end(AttemptPhase.Lost);
    this.#phase = AttemptPhase.Lost;
    this.#sendFailed(RefusalReason.UpstreamFailed, Outcome.Unknown);
    this.#delivery.discard();
    this.#exit(AttemptExit.Broken);
  }

  #cancelRun(): void {
    if (!this.#end(AttemptPhase.Lost)) return;
    this.#run?.cancel();
    this.#delivery.discard();
    this.#exit(AttemptExit.Cancelled);
  }

  #exit(exit: AttemptExit): void {
    this.#hasExited = true;
    this.#options.owner.onExit(this, exit);
  }

  /** @returns false if the attempt had already ended */
  #end(phase: AttemptPhase): boolean {
    if (this.#phase !== AttemptPhase.Running) return false;
    this.#phase = phase;
    clearTimeout(this.#deadlineTimer);
    clearTimeout(this.#orphanTimer);
    return true;
  }

  #sendFailed(reason: RefusalReason, outcome: Outcome.NotRun | Outcome.Unknown): void {
    this.session?.send({
      type: MessageType.Failed,
      attemptId: this.id,
      reason,
      outcome,
      retryAfterMs: outcome === Outcome.NotRun ? this.#options.owner.chooseRetryAfterMs() : 0,
    });
  }

  #recordFirstByte(): void {
    if (this.#hasFirstByte) return;
    this.#hasFirstByte = true;
    this.#options.owner.onFirstByte(this);
  }

  #recordChunk(): void {
    const nowMs = readClockMs();
    const beforeMs = this.#lastChunkAtMs;
    this.#lastChunkAtMs = this.#isPaused ? undefined : nowMs;
    if (beforeMs !== undefined) this.#options.owner.onChunk(nowMs - beforeMs);
  }

  /**
   * A repeatable attempt keeps only bytes that the entry has not consumed. A non-repeatable one
   * keeps the whole response up to {@link MAX_REPLAY_BYTES_PER_ATTEMPT}; above that, consumed bytes
   * are released, or, without a session, the response is dropped.
   */
  #trimReplayBuffer(): void {
    if (this.isRepeatable) {
      this.#delivery.releaseAcknowledged();
    } else if (this.heldBytes > MAX_REPLAY_BYTES_PER_ATTEMPT) {
      if (this.session) this.#delivery.releaseAcknowledged();
      else this.#delivery.discard();
    }
  }

  /**
   * Pauses the engine while the entry is slow. A non-repeatable attempt without a session is never
   * paused, as it must run to completion.
   */
  #updateBackpressure(): void {
    if (this.#phase !== AttemptPhase.Running) return;
    const { pendingBytes: waitingBytes } = this.#delivery;
    const mayPause = this.isRepeatable || this.session !== undefined;
    if (!mayPause || waitingBytes < RESUME_THRESHOLD_BYTES) this.#resume();
    else if (waitingBytes > PAUSE_THRESHOLD_BYTES) this.#pause();
  }

  #pause(): void {
    if (this.#isPaused || !this.#run) return;
    this.#isPaused = true;
    this.#run.pause();
  }

  #resume(): void {
    if (!this.#isPaused) return;
    this.#isPaused = false;
    this.#lastChunkAtMs = undefined;
    this.#run?.resume();
  }
}
