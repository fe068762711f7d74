/**
 * State machine of one attempt to run a request on one upstream, on the entry's side of the link.
 *
 * Phases: running while its messages arrive over a link; detached after the link is lost; inquiring
 * after a reconnect, or on the same link after a progress timeout or a gap in the answer; ended. An
 * attempt ends exactly once. It ends as not run only if the side process has confirmed that.
 */
import { toError } from '../fault.js';
import { AttemptState, MessageType, type Message, type MessageOf } from '../messages/message.js';
import { Outcome, RefusalReason, RetryReason } from '../model/reason.js';

import { RelayResult, type AnswerRelay } from './answerRelay.js';

/** Phase of an attempt. */
export enum AttemptPhase {
  Running = 'running',
  Detached = 'detached',
  Inquiring = 'inquiring',
  Ended = 'ended',
}

/** How an attempt ended. */
export interface AttemptEnd {
  readonly outcome: Outcome;
  readonly reason: RefusalReason;
  /** Reason under which the retry is counted if another attempt follows. */
  readonly retryReason: RetryReason;
  /** Retry-after hint from the upstream; 0 if it gave none. */
  readonly retryAfterMs: number;
}

/** Target, time limits and callbacks of an attempt. */
export interface AttemptOptions {
  readonly id: string;
  readonly upstream: string;
  readonly domain: string;
  readonly sideIncarnation: string;
  /** Clock of the side process in ms, received no later than the submission was sent. */
  readonly sideTickMs: number;
  readonly isRepeatable: boolean;
  readonly progressTimeoutMs: number;
  /** Longest wait for the answer to an inquiry, including the reconnect. */
  readonly inquiryLimitMs: number;
  /** Used in place of `inquiryLimitMs` while the request may be retried elsewhere. */
  readonly reconnectGraceMs: number;
  readonly relay: AnswerRelay;
  /** Sends on the upstream's current link; the message is dropped if there is none. */
  readonly send: (message: Message) => void;
  /** Whether a retry after a failure would be allowed now. */
  readonly canRetry: () => boolean;
  /** Whether the side process would still have a record of the attempt if it had received it. */
  readonly isRemembered: () => boolean;
  /** Called when the answer resumes after the link was lost. */
  readonly onResume: () => void;
  /** Called once when the attempt ends, unless `cancel` or `stopTracking` came first. */
  readonly onEnd: (end: AttemptEnd) => void;
  /** Called when a message was not handled, as an exception was thrown, perhaps by `onEnd`. */
  readonly onFault: (error: Error) => void;
}

/**
 * Reasons for which the side process's admission gate, or the entry itself before sending, turns a
 * request away before any work is done for it.
 */
const GATE_REASONS: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.UpstreamFull,
  RefusalReason.UpstreamCold,
  RefusalReason.UpstreamLeaving,
  RefusalReason.DomainDrained,
  RefusalReason.ShuttingDown,
  RefusalReason.NoUpstream,
  RefusalReason.StaleIncarnation,
  RefusalReason.StaleSubmission,
]);

/** Whether a refusal means that an upstream accepts no work now, and not that something failed. */
export function isGateReason(reason: RefusalReason): boolean {
  return GATE_REASONS.has(reason);
}

/** One attempt, from its submission or inquiry to its end. */
export class Attempt {
  readonly id: string;

  readonly upstream: string;

  readonly domain: string;

  readonly sideIncarnation: string;

  readonly #options: AttemptOptions;

  readonly #relay: AnswerRelay;

  #phase = AttemptPhase.Running;

  /** Whether any part of the answer has arrived, which proves that the attempt has run. */
  #hasAnswered = false;

  /** Whether the link was lost and the answer has not resumed since. */
  #isInterrupted = false;

  #progressTimer: NodeJS.Timeout | undefined;

  #inquiryTimer: NodeJS.Timeout | undefined;

  constructor(options: AttemptOptions) {
    this.id = options.id;
    this.upstream = options.upstream;
    this.domain = options.domain;
    this.sideIncarnation = options.sideIncarnation;
    this.#options = options;
    this.#relay = options.relay;
    this.#relay.setCreditListener((upToOffset) => this.#sendCredit(upToOffset));
  }

  get phase(): AttemptPhase {
    return this.#phase;
  }

  /** Starts the progress timeout of an attempt that has just been submitted. */
  watchProgress(): void {
    this.#restartProgressTimer();
  }

  /**
   * Asks the side process for the state of an attempt that was submitted earlier, by another entry
   * or by this one.
   */
  inquire(): void {
    if (this.#phase === AttemptPhase.Ended) return;
    this.#phase = AttemptPhase.Inquiring;
    this.#startInquiryTimer();
    this.#options.send({
      type: MessageType.Inquire,
      attemptId: this.id,
      sideIncarnation: this.sideIncarnation,
      fromOffset: this.#relay.deliveredBytes,
      creditBytes: this.#relay.creditBytes,
      submitTickMs: this.#options.sideTickMs,
    });
  }

  /** Stops the progress timeout and starts the wait for a new link. */
  handleLinkLost(): void {
    if (this.#phase === AttemptPhase.Ended) return;
    this.#phase = AttemptPhase.Detached;
    this.#isInterrupted = true;
    clearTimeout(this.#progressTimer);
    this.#startInquiryTimer();
  }

  /** Inquires about a detached attempt over the new link to its side process. */
  handleLinkOpen(): void {
    if (this.#phase === AttemptPhase.Detached) this.inquire();
  }

  /**
   * Cancels the attempt so that the request is retried in another failure domain. Does nothing if
   * the request may not be repeated or its caller already has part of the answer.
   */
  relocate(): void {
    if (this.#phase === AttemptPhase.Ended || !this.#canRunElsewhere) return;
    this.#sendCancel();
    this.#end(Outcome.Unknown, RefusalReason.DomainDrained, RetryReason.DomainDrained, 0);
  }

  /** Handles a message from the side process about this attempt. */
  handleMessage(message: Message): void {
    if (this.#phase === AttemptPhase.Ended) return;
    try {
      this.#dispatch(message);
    } catch (thrown) {
      this.#options.onFault(toError(thrown));
    }
  }

  /** Cancels the attempt at the side process and stops tracking it. */
  cancel(): void {
    if (this.#phase === AttemptPhase.Ended) return;
    this.#sendCancel();
    this.stopTracking();
  }

  /** Ends the attempt locally, without calling `onEnd` or notifying the side process. */
  stopTracking(): void {
    this.#phase = AttemptPhase.Ended;
    clearTimeout(this.#progressTimer);
    clearTimeout(this.#inquiryTimer);
    this.#relay.setCreditListener(undefined);
  }

  #dispatch(message: Message): void {
    if (message.type === MessageType.Refused) this.#handleRefused(message);
    else if (message.type === MessageType.Failed) this.#handleFailed(message);
    else if (message.type === MessageType.InquiryAnswer) this.#handleInquiryAnswer(message);
    else if (message.type === MessageType.Head) this.#handleHead(message);
    else if (message.type === MessageType.Data) this.#handleData(message);
    else if (message.type === MessageType.End) this.#handleEnd(message);
  }

  #handleRefused(message: MessageOf<MessageType.Refused>): void {
    if (this.#hasAnswered) return;
    this.#end(Outcome.NotRun, message.reason, RetryReason.RefusedBySide, message.retryAfterMs);
  }

  #handleFailed(message: MessageOf<MessageType.Failed>): void {
    const outcome = this.#hasAnswered ? Outcome.Unknown : message.outcome;
    this.#end(outcome, message.reason, RetryReason.UpstreamFailed, message.retryAfterMs);
  }

  #handleInquiryAnswer(message: MessageOf<MessageType.InquiryAnswer>): void {
    if (this.#phase !== AttemptPhase.Inquiring) return;
    if (message.state === AttemptState.Dead) this.#endDead();
    else if (message.state === AttemptState.Lost) this.#endUnknown(RefusalReason.OutcomeUnknown);
    else this.#resume();
  }

  /**
   * The side process has no record of the attempt. That proves that it has not run only if no part
   * of an answer has arrived and the record cannot have expired yet.
   */
  #endDead(): void {
    const isProof = !this.#hasAnswered && this.#options.isRemembered();
    if (!isProof) this.#endUnknown(RefusalReason.OutcomeUnknown);
    else this.#end(Outcome.NotRun, RefusalReason.LinkLost, RetryReason.LinkLostNotRun, 0);
  }

  #endUnknown(reason: RefusalReason): void {
    this.#end(Outcome.Unknown, reason, RetryReason.LinkLostRepeatable, 0);
  }

  #resume(): void {
    if (this.#isInterrupted) this.#options.onResume();
    this.#isInterrupted = false;
    this.#phase = AttemptPhase.Running;
    clearTimeout(this.#inquiryTimer);
    this.#inquiryTimer = undefined;
    this.#restartProgressTimer();
    this.#relay.renewCredit();
  }

  #handleHead(message: MessageOf<MessageType.Head>): void {
    this.#hasAnswered = true;
    this.#handleRelayResult(this.#relay.relayHead(message.status, message.headers));
  }

  #handleData(message: MessageOf<MessageType.Data>): void {
    this.#hasAnswered = true;
    this.#handleRelayResult(this.#relay.relayData(message.offset, message.data));
  }

  #handleEnd(message: MessageOf<MessageType.End>): void {
    this.#hasAnswered = true;
    const step = this.#relay.relayEnd(message.totalBytes);
    if (step !== RelayResult.Taken) this.#handleRelayResult(step);
    else this.#end(Outcome.Answered, RefusalReason.OutcomeUnknown, RetryReason.StreamResumed, 0);
  }

  #handleRelayResult(step: RelayResult): void {
    if (step === RelayResult.Taken) this.#restartProgressTimer();
    else if (step === RelayResult.Broken) this.#endUnknown(RefusalReason.UpstreamFailed);
    else if (step === RelayResult.Gap && this.#phase === AttemptPhase.Running) this.inquire();
  }

  #restartProgressTimer(): void {
    clearTimeout(this.#progressTimer);
    if (this.#phase !== AttemptPhase.Running) return;
    const { progressTimeoutMs } = this.#options;
    this.#progressTimer = setTimeout(() => this.#handleProgressTimeout(), progressTimeoutMs);
  }

  #handleProgressTimeout(): void {
    if (this.#relay.isBlocked) this.#restartProgressTimer();
    else if (this.#mayRetry) this.#endTimedOut();
    else this.inquire();
  }

  #endTimedOut(): void {
    this.#sendCancel();
    this.#end(Outcome.Unknown, RefusalReason.UpstreamSilent, RetryReason.ProgressTimeout, 0);
  }

  /** Started once for each interruption, so that further inquiries do not extend the wait. */
  #startInquiryTimer(): void {
    clearTimeout(this.#progressTimer);
    if (this.#inquiryTimer) return;
    this.#waitForAnswer(this.#options.inquiryLimitMs);
  }

  /**
   * Ends the attempt after a time without an answer. Where the request may be retried elsewhere,
   * that is after `reconnectGraceMs`, or as soon after that as the retry is allowed.
   */
  #waitForAnswer(limitMs: number): void {
    const { reconnectGraceMs } = this.#options;
    const waitMs = this.#canRunElsewhere ? Math.min(reconnectGraceMs, limitMs) : limitMs;
    this.#inquiryTimer = setTimeout(() => {
      const remainingMs = limitMs - waitMs;
      if (remainingMs === 0 || this.#mayRetry) this.#endUnanswered();
      else this.#waitForAnswer(remainingMs);
    }, waitMs);
  }

  /** Also cancels a repeatable attempt, as an inquiry that arrives late would keep it running. */
  #endUnanswered(): void {
    if (this.#options.isRepeatable) this.#sendCancel();
    this.#endUnknown(RefusalReason.LinkLost);
  }

  get #canRunElsewhere(): boolean {
    return this.#options.isRepeatable && !this.#relay.isCommitted;
  }

  get #mayRetry(): boolean {
    return this.#canRunElsewhere && this.#options.canRetry();
  }

  #sendCancel(): void {
    this.#options.send({ type: MessageType.Cancel, attemptId: this.id });
  }

  #sendCredit(upToOffset: number): void {
    if (this.#phase !== AttemptPhase.Running) return;
    this.#options.send({ type: MessageType.Credit, attemptId: this.id, upToOffset });
  }

  #end(
    outcome: Outcome,
    reason: RefusalReason,
    retryReason: RetryReason,
    retryAfterMs: number,
  ): void {
    this.stopTracking();
    this.#options.onEnd({ outcome, reason, retryReason, retryAfterMs });
  }
}
