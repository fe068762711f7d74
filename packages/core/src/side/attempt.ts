/**
 * One attempt in the side process: the call of the engine and the delivery of its answer.
 *
 * It outlives the link that brought it. One that may not be repeated runs to its end once the
 * engine has it; one that may be repeated is cancelled at its deadline, on request, and where
 * nobody asks for it after its link is lost.
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

/** Bytes that wait for credit before the engine is paused. */
const PAUSE_THRESHOLD_BYTES = 131_072;

/** Bytes that wait for credit when the engine goes on. */
const RESUME_THRESHOLD_BYTES = 32_768;

/** Longest time that a timer can wait. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Largest answer, or end of one, that is kept for an attempt that may not be repeated. */
export const MAX_REPLAY_BYTES_PER_ATTEMPT = 1_048_576;

export enum AttemptPhase {
  Running = 'running',
  /** The whole answer came. */
  Finished = 'finished',
  /** Proved: the engine never got it. */
  NotRun = 'not-run',
  /** It may have run, and there is no whole answer. */
  Lost = 'lost',
}

/** How an attempt is made. */
export interface AttemptOptions {
  readonly permit: ConcurrencyPermit;
  readonly owner: AttemptOwner;
  /** Time without a link after which a repeatable attempt is cancelled. */
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

  /** Reading of this process's clock that the submission echoed. */
  readonly echoTickMs: number;

  readonly permit: ConcurrencyPermit;

  readonly #options: AttemptOptions;

  readonly #delivery: ResponseDelivery;

  #phase = AttemptPhase.Running;

  #run: EngineRun | undefined;

  #isPaused = false;

  #hasFirstByte = false;

  #lastChunkAtMs: number | undefined;

  #deadlineTimer: NodeJS.Timeout | undefined;

  #orphanTimer: NodeJS.Timeout | undefined;

  #detachedAtMs = Number.NEGATIVE_INFINITY;

  /** @param submit not kept: an attempt is remembered for longer than its request is needed */
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

  /** Whether the answer has ended and all of it was sent to whoever follows it. */
  get isDelivered(): boolean {
    return this.#phase === AttemptPhase.Finished && this.#delivery.isEndSent;
  }

  /** Whether somebody may still be waiting for what the attempt yields. */
  isAwaited(nowMs: number, orphanGraceMs: number): boolean {
    if (this.#phase === AttemptPhase.Running) return true;
    if (!this.session) return nowMs - this.#detachedAtMs <= orphanGraceMs;
    return this.#phase === AttemptPhase.Finished && !this.isDelivered;
  }

  /** Starts the call, for an entry that follows it. */
  start(submit: MessageOf<MessageType.Submit>, engine: Engine, session: LinkSession): void {
    this.#delivery.attach(session, 0, submit.creditBytes);
    const remainingMs = Math.min(submit.remainingMs, MAX_TIMER_MS);
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
        onHead: (status, headers) => this.#handleHead(status, headers),
        onData: (data) => this.#handleData(data),
        onEnd: () => this.#handleEnd(),
        onFailure: (failure) => this.#handleFailure(failure),
      },
    );
    this.#updateBackpressure();
  }

  /** What an inquiry from an offset on is told. */
  determineState(fromOffset: number): AttemptState {
    if (this.#phase === AttemptPhase.NotRun) return AttemptState.Dead;
    if (this.#phase === AttemptPhase.Lost) return AttemptState.Lost;
    if (!this.#delivery.canSendFrom(fromOffset)) return AttemptState.Lost;
    return this.#phase === AttemptPhase.Running ? AttemptState.Running : AttemptState.Finished;
  }

  /** Moves to another session, from an offset that {@link determineState} has allowed. */
  attach(session: LinkSession, fromOffset: number, creditBytes: number): void {
    clearTimeout(this.#orphanTimer);
    this.#delivery.attach(session, fromOffset, creditBytes);
    this.#updateBackpressure();
  }

  /** Goes on without a session. */
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

  /** The caller wants no answer any more. */
  cancel(): void {
    if (this.isRepeatable) this.#cancelRun();
    else this.detach();
  }

  /** Ends a repeatable attempt early and tells the entry why. */
  abandon(reason: RefusalReason): void {
    if (!this.isRepeatable || this.#phase !== AttemptPhase.Running) return;
    this.#sendFailed(reason, Outcome.Unknown);
    this.#cancelRun();
  }

  /** Lets go of the kept answer; the attempt itself is remembered. */
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
    this.#options.owner.onExit(this, AttemptExit.Completed);
  }

  #handleFailure(failure: EngineFailure): void {
    const isLost = failure.kind === EngineFailureKind.Lost || this.#hasFirstByte;
    if (!this.#end(isLost ? AttemptPhase.Lost : AttemptPhase.NotRun)) return;
    const isDeclined = failure.kind === EngineFailureKind.Declined;
    const reason = isDeclined ? RefusalReason.UpstreamFull : RefusalReason.UpstreamFailed;
    this.#sendFailed(reason, isLost ? Outcome.Unknown : Outcome.NotRun);
    this.#delivery.discard();
    this.#options.owner.onExit(this, EXIT_BY_FAILURE[failure.kind]);
  }

  #cancelRun(): void {
    if (!this.#end(AttemptPhase.Lost)) return;
    this.#run?.cancel();
    this.#delivery.discard();
    this.#options.owner.onExit(this, AttemptExit.Cancelled);
  }

  /** @returns false where the attempt had ended before */
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

  /** Repeatable answers keep what is not taken; others keep all up to a bound. */
  #trimReplayBuffer(): void {
    if (this.isRepeatable) {
      this.#delivery.releaseAcknowledged();
    } else if (this.heldBytes > MAX_REPLAY_BYTES_PER_ATTEMPT) {
      if (this.session) this.#delivery.releaseAcknowledged();
      else this.#delivery.discard();
    }
  }

  /** Pauses the engine where the entry is slow; nothing holds one back that must run to its end. */
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
