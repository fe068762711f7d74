/** Handles submissions, inquiries, cancellations and credit, and owns the attempts. */
import { reportFault } from '../fault.js';
import { AttemptState, MessageType, type MessageOf } from '../messages/message.js';
import type { NamedLimit } from '../model/namedLimit.js';
import { RefusalReason } from '../model/reason.js';

import { Attempt } from './attempt.js';
import { AttemptOwner } from './attemptOwner.js';
import { AttemptRecords } from './attemptRecords.js';
import type { ConcurrencyLimiter, AttemptExit } from './concurrencyLimiter.js';
import type { LinkSession } from './linkSession.js';
import { readClockMs } from './sideClock.js';
import type { SideOptions } from './sideOptions.js';
import { checkSubmission } from './submissionCheck.js';

/** Part named in log lines. */
const LOG_PART = 'side';

/** Retry delay sent with refusals that are not due to capacity. */
const CLOSED_RETRY_AFTER_MS = 500;

/** Refusals due to capacity, for which the concurrency limiter estimates the retry delay. */
const CAPACITY_REASONS: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.UpstreamFull,
  RefusalReason.UpstreamCold,
]);

/** Manages all attempts of this process. */
export class AttemptController extends AttemptOwner {
  readonly #options: SideOptions;

  readonly #limiter: ConcurrencyLimiter;

  readonly #records: AttemptRecords;

  constructor(options: SideOptions, limiter: ConcurrencyLimiter) {
    super();
    this.#options = options;
    this.#limiter = limiter;
    this.#records = new AttemptRecords(options.timing);
  }

  /** Admits or refuses an attempt; a duplicate message is ignored. */
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

  /** Replies with the state of an attempt and resumes its response if there is one. */
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

  /** Lets the attempts of a closed session continue without it. */
  detach(session: LinkSession): void {
    this.#records.attempts
      .filter((attempt) => attempt.session === session)
      .forEach((attempt) => attempt.detach());
  }

  /** Cancels repeatable attempts so that entries can run them elsewhere. */
  abandonRepeatable(reason: RefusalReason): void {
    this.#records.attempts.forEach((attempt) => attempt.abandon(reason));
  }

  /** Whether no entry can still need the result of any attempt. */
  isIdle(nowMs: number): boolean {
    const { inquiryLimitMs, reconnectMaxMs } = this.#options.timing;
    const graceMs = inquiryLimitMs + reconnectMaxMs;
    return !this.#records.attempts.some((attempt) => attempt.isAwaited(nowMs, graceMs));
  }

  /** Removes records that are past their retention time. */
  prune(nowMs: number): void {
    this.#records.prune(nowMs);
  }

  onFirstByte(attempt: Attempt): void {
    this.#limiter.recordFirstByte(attempt.permit, readClockMs());
  }

  onRequestLimit(attempt: Attempt, named: NamedLimit): void {
    this.#limiter.recordRequestLimit(attempt.permit, named, readClockMs());
  }

  chooseRetryAfterMs(): number {
    return this.#limiter.chooseRetryAfterMs();
  }

  onChunk(gapMs: number): void {
    this.#limiter.recordStepTime(gapMs);
  }

  onFault(attempt: Attempt, error: Error): void {
    reportFault(this.#options, LOG_PART, error, { attempt: attempt.id });
  }

  onExit(attempt: Attempt, exit: AttemptExit): void {
    const nowMs = readClockMs();
    this.#limiter.release(attempt.permit, exit, nowMs);
    this.#records.markEnded(attempt, nowMs);
    this.#options.metrics.count('side.exit', { exit });
  }

  /** The first copy may be running, so a duplicate must never be refused as not run. */
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

  /** Records the refused id as dead, so that a duplicate message cannot run it after all. */
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
