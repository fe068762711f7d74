/**
 * Lifecycle of one request in the entry: admission, attempts, retries and completion.
 *
 * A request ends exactly once, with a complete answer, a refusal or the loss of its caller, and no
 * later than its deadline.
 */
import { reportFault, toError } from '../fault.js';
import type { KeptAnswer } from '../claims/claimRecord.js';
import { ClaimStepKind, type ClaimStep } from '../claims/claimSession.js';
import { isClaimRequired, RequestClaim } from '../claims/requestClaim.js';
import type { AdmissionPermit } from '../limits/admissionPolicy.js';
import type { QueryRow } from '../model/query.js';
import { Outcome, RefusalReason, RetryReason, type Refusal } from '../model/reason.js';
import type { Caller } from '../ports/caller.js';
import { RetryHistory } from '../retry/retryHistory.js';
import type { RoutingQuery } from '../routing/routingPolicy.js';
import { markFull } from '../routing/upstreamState.js';

import { AnswerRelay } from './answerRelay.js';
import { isGateReason, type Attempt, type AttemptEnd } from './attempt.js';
import { AttemptLauncher } from './attemptLauncher.js';
import { refuseNotRun, refuseUnknown, reportRefusal } from './refusal.js';
import type { ClassifiedRequest } from './requestClassifier.js';
import type { RequestContext } from './requestContext.js';
import { createQuery, createTarget, readRetryShare, type AttemptTarget } from './submission.js';

const LOG_PART = 'requests';

/** Shortest retry-after hint for requests that are given up after a failed attempt. */
const GIVEN_UP_RETRY_AFTER_MS = 1_000;

/** End of an attempt that produced no answer or could not be sent. */
type FailedEnd = AttemptEnd & { readonly outcome: Outcome.NotRun | Outcome.Unknown };

function isFailed(end: AttemptEnd): end is FailedEnd {
  return end.outcome !== Outcome.Answered;
}

function isFull({ outcome, reason }: FailedEnd): boolean {
  if (outcome !== Outcome.NotRun) return false;
  return reason === RefusalReason.UpstreamFull || reason === RefusalReason.UpstreamCold;
}

/**
 * Whether an attempt ended without a failure: it was turned away before any work was done, or its
 * failure domain is being drained.
 */
function isDeferred({ outcome, reason, retryReason }: FailedEnd): boolean {
  if (retryReason === RetryReason.DomainDrained) return true;
  return outcome === Outcome.NotRun && isGateReason(reason);
}

/** Runs one request from its acceptance to its end. */
export class RequestRun {
  readonly id: string;

  readonly #context: RequestContext;

  readonly #classified: ClassifiedRequest;

  readonly #relay: AnswerRelay;

  readonly #launcher: AttemptLauncher;

  readonly #history: RetryHistory;

  readonly #onDone: (run: RequestRun) => void;

  readonly #admissionAbort = new AbortController();

  /** Set if the request has an idempotency key and may run only once. */
  readonly #claim: RequestClaim | undefined;

  #permit: AdmissionPermit | undefined;

  #permitGrantedAtMs = 0;

  #attempt: Attempt | undefined;

  #attemptNumber = 0;

  #isEnded = false;

  #deadlineTimer: NodeJS.Timeout | undefined;

  #retryTimer: NodeJS.Timeout | undefined;

  constructor(
    context: RequestContext,
    classified: ClassifiedRequest,
    caller: Caller,
    onDone: (run: RequestRun) => void,
  ) {
    this.id = classified.request.id;
    this.#context = context;
    this.#classified = classified;
    this.#onDone = onDone;
    this.#history = new RetryHistory(context.retries);
    if (isClaimRequired(classified)) {
      this.#claim = new RequestClaim(context.claims, classified, caller, context.board.name);
    }
    this.#relay = new AnswerRelay(this.#claim?.recorder ?? caller);
    this.#launcher = new AttemptLauncher(context, classified, this.#relay, {
      onStart: (attempt) => {
        this.#attempt = attempt;
      },
      onEnd: (end) => this.#handleAttemptEnd(end),
      onFault: (error) => this.#handleFault(error),
    });
    caller.onDisconnect(() => this.#handleCallerGone());
  }

  /** Name of the pool that the request is for. */
  get pool(): string {
    return this.#classified.pool.name;
  }

  /** Describes the request as a row for operators. */
  describe(nowMs: number): QueryRow {
    const { request, requestClass, workspace, deadlineAtMs } = this.#classified;
    return {
      id: this.id,
      workspace: workspace.name,
      class: requestClass.name,
      pool: this.pool,
      upstream: this.#attempt?.upstream ?? '',
      phase: this.#attempt?.phase ?? 'waiting',
      attempts: this.#attemptNumber,
      ageMs: nowMs - request.arrivedAtMs,
      remainingMs: deadlineAtMs - nowMs,
    };
  }

  /**
   * Waits for admission and starts the first attempt. The request then runs on by itself and calls
   * `onDone` when it has ended.
   */
  async start(): Promise<void> {
    const { deadlineAtMs, requestClass, workspace, pool } = this.#classified;
    this.#deadlineTimer = setTimeout(() => this.#handleDeadline(), deadlineAtMs - Date.now());
    const admitted = await this.#context.admission.enter({
      requestId: this.id,
      pool: pool.name,
      className: requestClass.name,
      workspace: workspace.name,
      weight: workspace.weight,
      priority: requestClass.priority,
      deadlineAtMs,
      queueLimit: pool.queueLimit,
      signal: this.#admissionAbort.signal,
    });
    if (!admitted.ok) {
      this.#refuse(admitted.val);
      return;
    }
    if (this.#isEnded) {
      admitted.val.release();
      return;
    }
    this.#permit = admitted.val;
    this.#permitGrantedAtMs = Date.now();
    this.#startAttempt();
  }

  /**
   * Chooses an upstream and starts an attempt on it.
   *
   * @param last end of the previous attempt; undefined for the first one and after a backoff
   */
  #startAttempt(last?: FailedEnd): void {
    if (this.#isEnded) return;
    const query = this.#createQuery();
    const choice = this.#context.routing.choose(this.#context.board, query, Date.now());
    if (!choice.ok && last) this.#retryLater(last);
    else if (!choice.ok) this.#refuse(choice.val);
    else if (this.#claim) this.#submitClaimed(this.#claim, this.#createTarget(choice.val));
    else this.#submit(this.#createTarget(choice.val));
  }

  /**
   * Schedules an attempt on the same upstreams after a backoff, or gives up if the deadline comes
   * first.
   */
  #retryLater(last: FailedEnd): void {
    const delayMs = this.#history.startNextRound(last.retryAfterMs);
    if (Date.now() + delayMs < this.#classified.deadlineAtMs) {
      this.#retryTimer = setTimeout(() => this.#startAttempt(), delayMs);
    } else this.#giveUp(last, last.reason);
  }

  #createQuery(): RoutingQuery {
    return createQuery(this.#classified, this.#history, Date.now());
  }

  #createTarget(upstream: string): AttemptTarget {
    this.#attemptNumber += 1;
    return createTarget(this.#context.board, upstream, `${this.id}.${this.#attemptNumber}`);
  }

  async #submitClaimed(claim: RequestClaim, target: AttemptTarget): Promise<void> {
    try {
      const step = await claim.acquire(target);
      if (!this.#isEnded) this.#applyClaimStep(step, target);
      else if (step.kind === ClaimStepKind.Held) claim.release();
    } catch (thrown) {
      this.#handleFault(toError(thrown));
    }
  }

  #applyClaimStep(step: ClaimStep, target: AttemptTarget): void {
    if (step.kind === ClaimStepKind.Held) this.#submit(target);
    else if (step.kind === ClaimStepKind.Replay) this.#replay(step.answer);
    else if (step.kind === ClaimStepKind.Refused) this.#refuse(step.refusal);
    else this.#adopt(step.record);
  }

  #submit(target: AttemptTarget): void {
    const submitted = this.#launcher.submit(target, this.#createQuery());
    if (submitted.ok) return;
    if (isGateReason(submitted.val.reason)) this.#retryElsewhere(target, submitted.val);
    else this.#refuse(submitted.val);
  }

  /** Retries elsewhere after the chosen upstream has stopped accepting work. */
  #retryElsewhere(target: AttemptTarget, refusal: Refusal): void {
    const { reason, retryAfterMs } = refusal;
    const isDrained = reason === RefusalReason.DomainDrained;
    const retryReason = isDrained ? RetryReason.DomainDrained : RetryReason.RefusedBySide;
    const domain = this.#context.board.upstreams.get(target.upstream)?.domain ?? '';
    const end: FailedEnd = { outcome: Outcome.NotRun, reason, retryReason, retryAfterMs };
    this.#retryOrRefuse(target.upstream, domain, end);
  }

  #adopt(target: AttemptTarget): void {
    const adopted = this.#launcher.adopt(target);
    if (!adopted.ok) this.#refuse(adopted.val);
  }

  #replay(answer: KeptAnswer): void {
    const body = Buffer.from(answer.bodyBase64, 'base64');
    this.#relay.relayHead(answer.status, answer.headers);
    this.#relay.relayData(0, body);
    this.#relay.relayEnd(body.length);
    this.#context.metrics.count('request.replayed');
    this.#finish();
  }

  /** Stops following the current attempt, regardless of its outcome. */
  #forgetAttempt(): Attempt | undefined {
    const attempt = this.#attempt;
    this.#attempt = undefined;
    if (attempt) this.#launcher.forget(attempt);
    return attempt;
  }

  #handleAttemptEnd(end: AttemptEnd): void {
    const attempt = this.#forgetAttempt();
    if (!attempt) return;
    if (isFailed(end)) {
      if (isFull(end)) markFull(this.#context.board, attempt.upstream);
      this.#retryOrRefuse(attempt.upstream, attempt.domain, end);
      return;
    }
    this.#claim?.finish();
    this.#observeService();
    this.#finish();
  }

  /** Ends the request after an exception, unless it has ended. */
  #handleFault(error: Error): void {
    reportFault(this.#context, LOG_PART, error, { id: this.id });
    const detail = 'an internal error occurred while the response was handled';
    this.#refuse(refuseUnknown(RefusalReason.UpstreamFailed, 0, detail));
  }

  #retryOrRefuse(upstream: string, domain: string, end: FailedEnd): void {
    const { outcome, retryReason } = end;
    const { isRepeatable } = this.#classified.requestClass;
    const { isCommitted } = this.#relay;
    const isGateRefusal = isDeferred(end);
    const failed = { upstream, domain, outcome, isRepeatable, isCommitted, isGateRefusal };
    const share = readRetryShare(this.#context.board);
    const decision = this.#history.decide(failed, share, Date.now());
    if (!decision.ok) {
      this.#giveUp(end, decision.val);
      return;
    }
    this.#context.metrics.count('request.retried', { reason: retryReason });
    if (isGateRefusal && this.#history.isBackoffDue) this.#retryLater(end);
    else this.#startAttempt(end);
  }

  #giveUp(end: FailedEnd, cause: RefusalReason): void {
    const isSpent = cause === RefusalReason.RetryBudgetSpent;
    const reason = isSpent ? cause : end.reason;
    const retryAfterMs = Math.max(end.retryAfterMs, GIVEN_UP_RETRY_AFTER_MS);
    this.#refuse(refuseNotRun(reason, retryAfterMs, `the last attempt ended with ${end.reason}`));
  }

  #handleDeadline(): void {
    if (this.#attempt) this.#observeService();
    const detail = 'the deadline passed before the answer was complete';
    this.#refuse(refuseNotRun(RefusalReason.DeadlinePassed, 0, detail));
  }

  /** Ends the request with a refusal, as not run only if that holds for all of its attempts. */
  #refuse(refusal: Refusal): void {
    if (this.#isEnded) return;
    const mayHaveRun = this.#history.mayHaveRun || this.#attempt !== undefined;
    const outcome = mayHaveRun ? Outcome.Unknown : refusal.outcome;
    this.#forgetAttempt()?.cancel();
    if (outcome === Outcome.NotRun) this.#claim?.release();
    reportRefusal(this.#context, this.#classified, { ...refusal, outcome });
    this.#relay.refuse({ ...refusal, outcome });
    this.#finish();
  }

  /**
   * Cancels the request, unless it holds a claim and an attempt is in flight: then it continues
   * without its caller, which may retry with the same key to get the answer.
   */
  #handleCallerGone(): void {
    if (this.#isEnded) return;
    if (this.#claim && this.#attempt) {
      this.#claim.recorder.detach();
      return;
    }
    this.#context.metrics.count('request.refused', { reason: RefusalReason.CallerGone });
    this.#forgetAttempt()?.cancel();
    this.#finish();
  }

  #observeService(): void {
    const { pool, requestClass } = this.#classified;
    const serviceMs = Date.now() - this.#permitGrantedAtMs;
    this.#context.admission.observeService(pool.name, requestClass.name, serviceMs);
  }

  #finish(): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    clearTimeout(this.#deadlineTimer);
    clearTimeout(this.#retryTimer);
    this.#admissionAbort.abort();
    this.#permit?.release();
    this.#onDone(this);
  }
}
