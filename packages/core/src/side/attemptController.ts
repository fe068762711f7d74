/** Takes submissions, inquiries, cancellations and credit in, and owns the attempts. */
import { AttemptState, MessageType, type MessageOf } from '../messages/message.js';
import { RefusalReason } from '../model/reason.js';

import { Attempt } from './attempt.js';
import { AttemptOwner } from './attemptOwner.js';
import { AttemptRecords } from './attemptRecords.js';
import type { ConcurrencyLimiter, AttemptExit } from './concurrencyLimiter.js';
import type { LinkSession } from './linkSession.js';
import { readClockMs } from './sideClock.js';
import type { SideOptions } from './sideOptions.js';
import { checkSubmission } from './submissionCheck.js';

/** Time after which a closed upstream is worth another try. */
const CLOSED_RETRY_AFTER_MS = 500;

/** Refusals that speak of room, for which the gate knows when to come back. */
const CAPACITY_REASONS: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.UpstreamFull,
  RefusalReason.UpstreamCold,
]);

/** All attempts of this process. */
export class AttemptController extends AttemptOwner {
  readonly #options: SideOptions;

  readonly #limiter: ConcurrencyLimiter;

  readonly #records: AttemptRecords;

  constructor(options: SideOptions, gate: ConcurrencyLimiter) {
    super();
    this.#options = options;
    this.#limiter = gate;
    this.#records = new AttemptRecords(options.timing);
  }

  /** Admits an attempt, refuses it, or ignores a repeated message. */
  submit(session: LinkSession, message: MessageOf<MessageType.Submit>): void {
    if (this.#isDuplicate(message)) {
      this.#options.metrics.count('side.duplicate');
      return;
    }
    const nowMs = readClockMs();
    const reason =
      checkSubmission(message, this.#options.board, this.#records, nowMs) ??
      this.#limiter.findRefusal(nowMs);
    if (reason) this.#refuse(session, message, reason, nowMs);
    else this.#start(session, message, nowMs);
  }

  /** Tells what became of an attempt, and sends its answer where there is one. */
  inquire(session: LinkSession, message: MessageOf<MessageType.Inquire>): void {
    const attempt = this.#records.find(message.attemptId);
    const state = this.#determineState(message, attempt);
    const { attemptId } = message;
    this.#options.metrics.count('side.inquiry', { state });
    session.send({ type: MessageType.InquiryAnswer, attemptId, state });
    if (state !== AttemptState.Running && state !== AttemptState.Finished) return;
    attempt?.attach(session, message.fromOffset, message.creditBytes);
  }

  cancel(session: LinkSession, message: MessageOf<MessageType.Cancel>): void {
    const attempt = this.#findAttached(session, message.attemptId);
    if (attempt) attempt.cancel();
    else this.#options.metrics.count('side.cancel_ignored');
  }

  grantCredit(session: LinkSession, message: MessageOf<MessageType.Credit>): void {
    this.#findAttached(session, message.attemptId)?.grantCredit(message.upToOffset);
  }

  /** Lets the attempts of a session that has closed go on without it. */
  detach(session: LinkSession): void {
    this.#records.attempts
      .filter((attempt) => attempt.session === session)
      .forEach((attempt) => attempt.detach());
  }

  /** Ends repeatable attempts so that entries run them elsewhere. */
  abandonRepeatable(reason: RefusalReason): void {
    this.#records.attempts.forEach((attempt) => attempt.abandon(reason));
  }

  /** Whether nobody waits for an attempt any more. */
  isIdle(nowMs: number): boolean {
    const { inquiryLimitMs, reconnectMaxMs } = this.#options.timing;
    const graceMs = inquiryLimitMs + reconnectMaxMs;
    return !this.#records.attempts.some((attempt) => attempt.isAwaited(nowMs, graceMs));
  }

  /** Forgets what has been kept for long enough. */
  prune(nowMs: number): void {
    this.#records.prune(nowMs);
  }

  onFirstByte(attempt: Attempt): void {
    this.#limiter.recordFirstByte(attempt.permit, readClockMs());
  }

  chooseRetryAfterMs(): number {
    return this.#limiter.chooseRetryAfterMs();
  }

  onChunk(gapMs: number): void {
    this.#limiter.recordStepTime(gapMs);
  }

  onExit(attempt: Attempt, exit: AttemptExit): void {
    const nowMs = readClockMs();
    this.#limiter.release(attempt.permit, exit, nowMs);
    this.#records.markEnded(attempt, nowMs);
    this.#options.metrics.count('side.exit', { exit });
  }

  /** The first copy may be running: a repeated one must never be told that it has not run. */
  #isDuplicate(message: MessageOf<MessageType.Submit>): boolean {
    const isForThisIncarnation = message.sideIncarnation === this.#options.board.incarnation;
    return isForThisIncarnation && this.#records.find(message.attemptId) !== undefined;
  }

  #start(session: LinkSession, submit: MessageOf<MessageType.Submit>, nowMs: number): void {
    const { engine, timing } = this.#options;
    const permit = this.#limiter.acquire(nowMs);
    const orphanLimitMs = timing.inquiryLimitMs;
    const attempt = new Attempt(submit, { permit, owner: this, orphanLimitMs });
    this.#records.add(attempt);
    attempt.start(submit, engine, session);
  }

  /** A refused id is dead: a repeated message must not run it after all. */
  #refuse(
    session: LinkSession,
    { attemptId }: MessageOf<MessageType.Submit>,
    reason: RefusalReason,
    nowMs: number,
  ): void {
    this.#records.markDead(attemptId, nowMs);
    this.#options.metrics.count('side.refused', { reason });
    const retryAfterMs = CAPACITY_REASONS.has(reason)
      ? this.#limiter.chooseRetryAfterMs()
      : CLOSED_RETRY_AFTER_MS;
    session.send({ type: MessageType.Refused, attemptId, reason, retryAfterMs });
  }

  #determineState(
    message: MessageOf<MessageType.Inquire>,
    attempt: Attempt | undefined,
  ): AttemptState {
    if (message.sideIncarnation !== this.#options.board.incarnation) return AttemptState.Lost;
    if (attempt) return attempt.determineState(message.fromOffset);
    if (this.#records.isPossiblyForgotten(message.submitTickMs)) return AttemptState.Lost;
    this.#records.markDead(message.attemptId, readClockMs());
    return AttemptState.Dead;
  }

  #findAttached(session: LinkSession, id: string): Attempt | undefined {
    const attempt = this.#records.find(id);
    return attempt?.session === session ? attempt : undefined;
  }
}
