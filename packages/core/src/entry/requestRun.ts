/**
 * One request's way through the entry: its turn, its attempts, its end.
 *
 * It ends exactly once, by the whole answer or by a refusal, and at the latest at its deadline.
 */
import type { KeptAnswer } from '../claims/claimRecord.js';
import { ClaimStepKind, type ClaimStep } from '../claims/claimSession.js';
import { needsClaim, RequestClaim } from '../claims/requestClaim.js';
import type { AdmissionPermit } from '../limits/admissionPolicy.js';
import type { QueryRow } from '../model/query.js';
import { Outcome, RefusalReason, RetryReason, type Refusal } from '../model/reason.js';
import type { Caller } from '../ports/caller.js';
import { RetryLedger } from '../retry/retryLedger.js';
import type { RoutingQuery } from '../routing/routingPolicy.js';
import { noteFull } from '../routing/upstreamState.js';

import { AnswerRelay } from './answerRelay.js';
import { isGateReason, type Attempt, type AttemptEnd } from './attempt.js';
import { AttemptLauncher } from './attemptLauncher.js';
import { refuseNotRun, reportRefusal } from './refusal.js';
import type { ClassifiedRequest } from './requestClassifier.js';
import type { RequestContext } from './requestContext.js';
import { createQuery, createTarget, readRetryShare, type AttemptTarget } from './submission.js';

/** Time after which a request that was given up is asked to come back. */
const GIVEN_UP_RETRY_MS = 1_000;

/** An attempt that ended without an answer, or was not even sent. */
type FailedEnd = AttemptEnd & { readonly outcome: Outcome.NotRun | Outcome.Unknown };

function isFailed(end: AttemptEnd): end is FailedEnd {
  return end.outcome !== Outcome.Answered;
}

function isFull({ outcome, reason }: FailedEnd): boolean {
  if (outcome !== Outcome.NotRun) return false;
  return reason === RefusalReason.UpstreamFull || reason === RefusalReason.UpstreamCold;
}

/** Whether nothing failed: a gate refused before any cost, or operators want the work elsewhere. */
function isPutOff({ outcome, reason, retryReason }: FailedEnd): boolean {
  if (retryReason === RetryReason.DomainDrained) return true;
  return outcome === Outcome.NotRun && isGateReason(reason);
}

/** One request from its acceptance to its end. */
export class RequestRun {
  readonly id: string;

  readonly #context: RequestContext;

  readonly #classified: ClassifiedRequest;

  readonly #relay: AnswerRelay;

  readonly #launcher: AttemptLauncher;

  readonly #ledger: RetryLedger;

  readonly #onDone: (run: RequestRun) => void;

  readonly #abort = new AbortController();

  /** Where the request came with a key and may run only once. */
  readonly #claim: RequestClaim | undefined;

  #permit: AdmissionPermit | undefined;

  #permitAtMs = 0;

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
    this.#ledger = new RetryLedger(context.retries);
    if (needsClaim(classified)) {
      this.#claim = new RequestClaim(context.claims, classified, caller, context.board.name);
    }
    this.#relay = new AnswerRelay(this.#claim?.recorder ?? caller);
    this.#launcher = new AttemptLauncher(context, classified, this.#relay, {
      onStart: (attempt) => {
        this.#attempt = attempt;
      },
      onEnd: (end) => this.#readEnd(end),
    });
    caller.onGone(() => this.#leaveCaller());
  }

  /** Name of the pool that the request is for. */
  get pool(): string {
    return this.#classified.pool.name;
  }

  /** Row for operators. */
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

  /** Starts the request; it ends by itself. */
  async start(): Promise<void> {
    const { deadlineAtMs, requestClass, workspace, pool } = this.#classified;
    this.#deadlineTimer = setTimeout(() => this.#readDeadline(), deadlineAtMs - Date.now());
    const turn = await this.#context.admission.enter({
      requestId: this.id,
      pool: pool.name,
      className: requestClass.name,
      workspace: workspace.name,
      weight: workspace.weight,
      priority: requestClass.priority,
      deadlineAtMs,
      queueLimit: pool.queueLimit,
      signal: this.#abort.signal,
    });
    if (!turn.ok) {
      this.#refuse(turn.val);
      return;
    }
    if (this.#isEnded) {
      turn.val.release();
      return;
    }
    this.#permit = turn.val;
    this.#permitAtMs = Date.now();
    this.#tryUpstream();
  }

  /** @param last how the attempt before ended */
  #tryUpstream(last?: FailedEnd): void {
    if (this.#isEnded) return;
    const query = this.#createQuery();
    const choice = this.#context.routing.choose(this.#context.board, query, Date.now());
    if (!choice.ok && last) this.#tryLater(last);
    else if (!choice.ok) this.#refuse(choice.val);
    else if (this.#claim) this.#sendClaimed(this.#claim, this.#createTarget(choice.val));
    else this.#submit(this.#createTarget(choice.val));
  }

  /** Tries again where the request was refused before, unless the deadline comes first. */
  #tryLater(last: FailedEnd): void {
    const delayMs = this.#ledger.restart(last.retryAfterMs);
    if (Date.now() + delayMs < this.#classified.deadlineAtMs) {
      this.#retryTimer = setTimeout(() => this.#tryUpstream(), delayMs);
    } else this.#giveUp(last, last.reason);
  }

  #createQuery(): RoutingQuery {
    return createQuery(this.#classified, this.#ledger, Date.now());
  }

  #createTarget(upstream: string): AttemptTarget {
    this.#attemptNumber += 1;
    return createTarget(this.#context.board, upstream, `${this.id}.${this.#attemptNumber}`);
  }

  async #sendClaimed(claim: RequestClaim, target: AttemptTarget): Promise<void> {
    const step = await claim.secure(target);
    if (!this.#isEnded) this.#followClaim(step, target);
    else if (step.kind === ClaimStepKind.Held) claim.release();
  }

  #followClaim(step: ClaimStep, target: AttemptTarget): void {
    if (step.kind === ClaimStepKind.Held) this.#submit(target);
    else if (step.kind === ClaimStepKind.Replay) this.#replay(step.answer);
    else if (step.kind === ClaimStepKind.Refused) this.#refuse(step.refusal);
    else this.#adopt(step.record);
  }

  #submit(target: AttemptTarget): void {
    const sent = this.#launcher.submit(target, this.#createQuery());
    if (sent.ok) return;
    if (isGateReason(sent.val.reason)) this.#skip(target, sent.val);
    else this.#refuse(sent.val);
  }

  /** Goes on elsewhere where the upstream has closed since it was chosen. */
  #skip(target: AttemptTarget, refusal: Refusal): void {
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
    this.#relay.takeHead(answer.status, answer.headers);
    this.#relay.takeData(0, body);
    this.#relay.takeEnd(body.length);
    this.#context.metrics.count('request.replayed');
    this.#finish();
  }

  /** Forgets the attempt under way, whatever became of it. */
  #dropAttempt(): Attempt | undefined {
    const attempt = this.#attempt;
    this.#attempt = undefined;
    if (attempt) this.#launcher.forget(attempt);
    return attempt;
  }

  #readEnd(end: AttemptEnd): void {
    const attempt = this.#dropAttempt();
    if (!attempt) return;
    if (isFailed(end)) {
      if (isFull(end)) noteFull(this.#context.board, attempt.upstream);
      this.#retryOrRefuse(attempt.upstream, attempt.domain, end);
      return;
    }
    this.#claim?.finish();
    this.#observeService();
    this.#finish();
  }

  #retryOrRefuse(upstream: string, domain: string, end: FailedEnd): void {
    const { outcome, retryReason } = end;
    const { isRepeatable } = this.#classified.requestClass;
    const { isCommitted } = this.#relay;
    const isGateRefusal = isPutOff(end);
    const failed = { upstream, domain, outcome, isRepeatable, isCommitted, isGateRefusal };
    const share = readRetryShare(this.#context.board);
    const decision = this.#ledger.decide(failed, share, Date.now());
    if (!decision.ok) {
      this.#giveUp(end, decision.val);
      return;
    }
    this.#context.metrics.count('request.retried', { reason: retryReason });
    this.#tryUpstream(end);
  }

  #giveUp(end: FailedEnd, why: RefusalReason): void {
    const isSpent = why === RefusalReason.RetryBudgetSpent;
    const reason = isSpent ? why : end.reason;
    const retryAfterMs = Math.max(end.retryAfterMs, GIVEN_UP_RETRY_MS);
    this.#refuse(refuseNotRun(reason, retryAfterMs, `the last attempt ended with ${end.reason}`));
  }

  #readDeadline(): void {
    if (this.#attempt) this.#observeService();
    const detail = 'the deadline has passed before the answer was whole';
    this.#refuse(refuseNotRun(RefusalReason.DeadlinePassed, 0, detail));
  }

  /** Ends the request with a refusal, as not run only where that holds for all its attempts. */
  #refuse(refusal: Refusal): void {
    if (this.#isEnded) return;
    const mayHaveRun = this.#ledger.mayHaveRun || this.#attempt !== undefined;
    const outcome = mayHaveRun ? Outcome.Unknown : refusal.outcome;
    this.#dropAttempt()?.cancel();
    if (outcome === Outcome.NotRun) this.#claim?.release();
    reportRefusal(this.#context, this.#classified, { ...refusal, outcome });
    this.#relay.refuse({ ...refusal, outcome });
    this.#finish();
  }

  /** A claimed request goes on without its caller, who may come back for the answer. */
  #leaveCaller(): void {
    if (this.#isEnded) return;
    if (this.#claim && this.#attempt) {
      this.#claim.recorder.detach();
      return;
    }
    this.#context.metrics.count('request.refused', { reason: RefusalReason.CallerGone });
    this.#dropAttempt()?.cancel();
    this.#finish();
  }

  #observeService(): void {
    const { pool, requestClass } = this.#classified;
    const serviceMs = Date.now() - this.#permitAtMs;
    this.#context.admission.observeService(pool.name, requestClass.name, serviceMs);
  }

  #finish(): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    clearTimeout(this.#deadlineTimer);
    clearTimeout(this.#retryTimer);
    this.#abort.abort();
    this.#permit?.release();
    this.#onDone(this);
  }
}
