/**
 * One attempt at a request at one upstream, as the entry sees it.
 *
 * A state machine: running on a link; detached where the link is lost; inquiring on a new link, or
 * on the same one after silence; ended. It ends exactly once, and calls itself not run only by what
 * the side process said of it.
 */
import { AttemptState, MessageType, type Message, type MessageOf } from '../messages/message.js';
import { Outcome, RefusalReason, RetryReason } from '../model/reason.js';

import { RelayResult, type AnswerRelay } from './answerRelay.js';

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
  /** Counted where another attempt follows. */
  readonly retryReason: RetryReason;
  /** Time after which the upstream may take it; 0 where it named none. */
  readonly retryAfterMs: number;
}

/** Where and how an attempt is made. */
export interface AttemptOptions {
  readonly id: string;
  readonly upstream: string;
  readonly domain: string;
  readonly sideIncarnation: string;
  /** Clock of the side process, heard no later than the submission. */
  readonly sideTickMs: number;
  readonly isRepeatable: boolean;
  readonly progressTimeoutMs: number;
  /** Longest wait for the answer to an inquiry. */
  readonly inquiryLimitMs: number;
  /** Longest wait for a new link while the request could as well run elsewhere. */
  readonly reconnectGraceMs: number;
  readonly relay: AnswerRelay;
  /** Sends on the link that the upstream has now; dropped where there is none. */
  readonly send: (message: Message) => void;
  /** Whether the side process, if it knew the attempt, would still remember it. */
  readonly isRemembered: () => boolean;
  /** Hears that the answer goes on after the link was lost. */
  readonly onResume: () => void;
  readonly onEnd: (end: AttemptEnd) => void;
}

/** Reasons by which work is put off before it costs anything. */
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

/** Whether a refusal says that an upstream takes no work now, rather than that something failed. */
export function isGateReason(reason: RefusalReason): boolean {
  return GATE_REASONS.has(reason);
}

/** State machine of one attempt. */
export class Attempt {
  readonly id: string;

  readonly upstream: string;

  readonly domain: string;

  readonly sideIncarnation: string;

  readonly #options: AttemptOptions;

  readonly #relay: AnswerRelay;

  #phase = AttemptPhase.Running;

  /** Whether the upstream has answered: from then on it has run. */
  #hasAnswered = false;

  /** Whether the link was lost and the answer does not go on yet. */
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

  /** Starts to watch an attempt that has just been submitted. */
  watchProgress(): void {
    this.#restartProgressTimer();
  }

  /** Asks for an attempt that another process, or this one on an earlier link, has submitted. */
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

  /** Hears that the link to the side process is lost. */
  handleLinkLost(): void {
    if (this.#phase === AttemptPhase.Ended) return;
    this.#phase = AttemptPhase.Detached;
    this.#isInterrupted = true;
    clearTimeout(this.#progressTimer);
    this.#startInquiryTimer();
  }

  /** Hears that a new link to the side process is open. */
  handleLinkOpen(): void {
    if (this.#phase === AttemptPhase.Detached) this.inquire();
  }

  /** Gives way to an attempt elsewhere, where nothing stands against that. */
  relocate(): void {
    if (this.#phase === AttemptPhase.Ended || !this.#canRunElsewhere) return;
    this.#options.send({ type: MessageType.Cancel, attemptId: this.id });
    this.#end(Outcome.Unknown, RefusalReason.DomainDrained, RetryReason.DomainDrained, 0);
  }

  /** Takes a message about this attempt in. */
  handleMessage(message: Message): void {
    if (this.#phase === AttemptPhase.Ended) return;
    if (message.type === MessageType.Refused) this.#handleRefused(message);
    else if (message.type === MessageType.Failed) this.#handleFailed(message);
    else if (message.type === MessageType.InquiryAnswer) this.#handleInquiryAnswer(message);
    else if (message.type === MessageType.Head) this.#handleHead(message);
    else if (message.type === MessageType.Data) this.#handleData(message);
    else if (message.type === MessageType.End) this.#handleEnd(message);
  }

  /** Tells the side process that nobody waits for the answer any more. */
  cancel(): void {
    if (this.#phase === AttemptPhase.Ended) return;
    this.#options.send({ type: MessageType.Cancel, attemptId: this.id });
    this.stopTracking();
  }

  /** Stops to follow the attempt; its listener hears nothing more. */
  stopTracking(): void {
    this.#phase = AttemptPhase.Ended;
    clearTimeout(this.#progressTimer);
    clearTimeout(this.#inquiryTimer);
    this.#relay.setCreditListener(undefined);
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

  /** That it is unknown there proves nothing where it could have been forgotten. */
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
    else if (this.#canRunElsewhere) this.#endTimedOut();
    else this.inquire();
  }

  #endTimedOut(): void {
    this.#options.send({ type: MessageType.Cancel, attemptId: this.id });
    this.#end(Outcome.Unknown, RefusalReason.UpstreamSilent, RetryReason.ProgressTimeout, 0);
  }

  /** Armed once for a loss: further inquiries do not prolong the wait. */
  #startInquiryTimer(): void {
    clearTimeout(this.#progressTimer);
    if (this.#inquiryTimer) return;
    const { inquiryLimitMs, reconnectGraceMs } = this.#options;
    const limitMs = this.#canRunElsewhere ? reconnectGraceMs : inquiryLimitMs;
    this.#inquiryTimer = setTimeout(() => this.#endUnknown(RefusalReason.LinkLost), limitMs);
  }

  get #canRunElsewhere(): boolean {
    return this.#options.isRepeatable && !this.#relay.isCommitted;
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
