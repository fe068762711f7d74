/**
 * One request's way through the entry: its turn, its attempts, its end.
 *
 * It ends exactly once, by the whole answer or by a refusal, and at the latest at its deadline.
 */
import type { AdmissionPermit } from '../limits/admissionPolicy.js';
import { Outcome, RefusalReason, type Refusal } from '../model/reason.js';
import type { QueryRow } from '../model/query.js';
import type { Caller } from '../ports/caller.js';
import type { RoutingQuery } from '../routing/routingPolicy.js';
import { countEnded, countSent } from '../routing/upstreamState.js';

import { AnswerRelay } from './answerRelay.js';
import { Attempt, isGateReason, type AttemptEnd } from './attempt.js';
import { refuseNotRun } from './refusal.js';
import type { ClassifiedRequest } from './requestClassifier.js';
import type { RequestContext } from './requestContext.js';
import { createSubmit, findSendFault, readRetryShare, type AttemptTarget } from './submission.js';

/** Time after which a request of unknown outcome is asked to come back. */
const UNKNOWN_RETRY_MS = 1_000;

/** One request from its acceptance to its end. */
export class RequestRun {
  readonly id: string;

  readonly #context: RequestContext;

  readonly #classified: ClassifiedRequest;

  readonly #relay: AnswerRelay;

  readonly #onDone: (run: RequestRun) => void;

  readonly #abort = new AbortController();

  readonly #excludedUpstreams = new Set<string>();

  readonly #avoidedDomains = new Set<string>();

  #permit: AdmissionPermit | undefined;

  #permitAtMs = 0;

  #attempt: Attempt | undefined;

  #attemptNumber = 0;

  #gateRefusals = 0;

  #retries = 0;

  /** Whether an attempt that is over may have run. */
  #mayHaveRun = false;

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
    this.#relay = new AnswerRelay(caller);
    caller.onGone(() => this.#leaveCaller());
  }

  get pool(): string {
    return this.#classified.pool.name;
  }

  /** Row for operators. */
  describe(nowMs: number): QueryRow {
    const { request, requestClass, workspace } = this.#classified;
    return {
      id: this.id,
      workspace: workspace.name,
      class: requestClass.name,
      pool: this.pool,
      upstream: this.#attempt?.upstream ?? '',
      phase: this.#attempt?.phase ?? 'waiting',
      attempts: this.#attemptNumber,
      ageMs: nowMs - request.arrivedAtMs,
      remainingMs: this.#classified.deadlineAtMs - nowMs,
    };
  }

  /** Starts the request; it ends by itself. */
  async start(): Promise<void> {
    const { deadlineAtMs, requestClass, workspace } = this.#classified;
    this.#deadlineTimer = setTimeout(() => this.#readDeadline(), deadlineAtMs - Date.now());
    const turn = await this.#context.admission.enter({
      requestId: this.id,
      pool: this.pool,
      workspace: workspace.name,
      weight: workspace.weight,
      priority: requestClass.priority,
      deadlineAtMs,
      queueLimit: this.#classified.pool.queueLimit,
      signal: this.#abort.signal,
    });
    if (!turn.ok) this.#refuse(turn.val);
    else if (this.#isEnded) turn.val.release();
    else this.#useTurn(turn.val);
  }

  #useTurn(permit: AdmissionPermit): void {
    this.#permit = permit;
    this.#permitAtMs = Date.now();
    this.#tryUpstream(0);
  }

  /** @param hintMs time after which the last upstream may take the request */
  #tryUpstream(hintMs: number): void {
    if (this.#isEnded) return;
    const nowMs = Date.now();
    const choice = this.#context.routing.choose(this.#context.board, this.#createQuery(), nowMs);
    if (choice.ok) this.#send(choice.val);
    else if (this.#excludedUpstreams.size > 0) this.#tryLater(hintMs, choice.val);
    else this.#refuse(choice.val);
  }

  /** Tries again where the request was refused before, unless the deadline comes first. */
  #tryLater(hintMs: number, refusal: Refusal): void {
    const tries = this.#gateRefusals + this.#retries;
    const delayMs = this.#context.retries.chooseDelayMs(tries, hintMs);
    if (Date.now() + delayMs >= this.#classified.deadlineAtMs) {
      this.#refuse({ ...refusal, retryAfterMs: Math.max(refusal.retryAfterMs, hintMs) });
      return;
    }
    this.#excludedUpstreams.clear();
    this.#retryTimer = setTimeout(() => this.#tryUpstream(0), delayMs);
  }

  #createQuery(): RoutingQuery {
    const { request, requestClass, deadlineAtMs } = this.#classified;
    return {
      pool: this.pool,
      model: request.model,
      prefixHashes: request.prefixHashes,
      excludedUpstreams: this.#excludedUpstreams,
      avoidedDomains: this.#avoidedDomains,
      remainingMs: deadlineAtMs - Date.now(),
      isRepeatable: requestClass.isRepeatable,
    };
  }

  #createTarget(upstream: string): AttemptTarget {
    const { board } = this.#context;
    this.#attemptNumber += 1;
    return {
      upstream,
      sideIncarnation: board.upstreams.get(upstream)?.sideIncarnation ?? '',
      attemptId: `${board.name}.${board.incarnation}.${this.id}.${this.#attemptNumber}`,
    };
  }

  #send(upstreamName: string): void {
    const { board, routing } = this.#context;
    const target = this.#createTarget(upstreamName);
    const attempt = this.#createAttempt(target);
    const nowMs = Date.now();
    const fault = findSendFault(board, this.#classified, target, nowMs);
    const upstream = board.upstreams.get(upstreamName);
    if (fault || !upstream?.link) {
      attempt.leave();
      this.#refuse(fault ?? refuseNotRun(RefusalReason.NoUpstream, 0, 'the upstream is gone'));
      return;
    }
    const { creditBytes } = this.#relay;
    this.#follow(attempt);
    countSent(board, upstreamName);
    routing.markSent(board, upstreamName, this.#createQuery());
    upstream.link.send(createSubmit(board, this.#classified, target, upstream, creditBytes, nowMs));
    attempt.watchSubmitted();
  }

  #createAttempt(target: AttemptTarget): Attempt {
    const { board, timing } = this.#context;
    const { requestClass } = this.#classified;
    return new Attempt({
      id: target.attemptId,
      upstream: target.upstream,
      domain: board.upstreams.get(target.upstream)?.domain ?? '',
      sideIncarnation: target.sideIncarnation,
      isRepeatable: requestClass.isRepeatable,
      progressTimeoutMs: requestClass.progressTimeoutMs,
      inquiryLimitMs: timing.inquiryLimitMs,
      reconnectGraceMs: timing.heartbeatMs,
      relay: this.#relay,
      send: (message) => board.upstreams.get(target.upstream)?.link?.send(message),
      onEnd: (end) => this.#readEnd(end),
    });
  }

  #follow(attempt: Attempt): void {
    this.#attempt = attempt;
    this.#context.attempts.set(attempt.id, attempt);
  }

  /** Forgets the attempt under way, whatever became of it. */
  #dropAttempt(): Attempt | undefined {
    const attempt = this.#attempt;
    if (!attempt) return undefined;
    this.#attempt = undefined;
    this.#context.attempts.delete(attempt.id);
    countEnded(this.#context.board, attempt.upstream);
    this.#context.routing.markEnded(this.#context.board, attempt.upstream);
    return attempt;
  }

  #readEnd(end: AttemptEnd): void {
    const attempt = this.#dropAttempt();
    if (!attempt) return;
    if (end.outcome === Outcome.Answered) {
      this.#finish();
      return;
    }
    this.#mayHaveRun ||= end.outcome === Outcome.Unknown;
    this.#retryOrRefuse(attempt, end, end.outcome);
  }

  #retryOrRefuse(
    attempt: Attempt,
    end: AttemptEnd,
    outcome: Outcome.NotRun | Outcome.Unknown,
  ): void {
    const isGateRefusal = outcome === Outcome.NotRun && isGateReason(end.reason);
    if (isGateRefusal) this.#gateRefusals += 1;
    const decision = this.#context.retries.decide(
      {
        outcome,
        isRepeatable: this.#classified.requestClass.isRepeatable,
        isCommitted: this.#relay.isCommitted,
        isGateRefusal,
        gateRefusals: this.#gateRefusals,
        retries: this.#retries,
        share: readRetryShare(this.#context.board),
      },
      Date.now(),
    );
    if (!decision.ok) this.#giveUp(end, decision.val);
    else this.#retry(attempt, end, isGateRefusal);
  }

  #retry(attempt: Attempt, end: AttemptEnd, isGateRefusal: boolean): void {
    this.#context.metrics.count('request.retried', { reason: end.retryReason });
    this.#excludedUpstreams.add(attempt.upstream);
    if (!isGateRefusal) {
      this.#retries += 1;
      this.#avoidedDomains.add(attempt.domain);
    }
    this.#tryUpstream(end.retryAfterMs);
  }

  #giveUp(end: AttemptEnd, why: RefusalReason): void {
    const isSpent = why === RefusalReason.RetryBudgetSpent;
    const reason = isSpent ? why : end.reason;
    const retryAfterMs = Math.max(end.retryAfterMs, UNKNOWN_RETRY_MS);
    this.#refuse(refuseNotRun(reason, retryAfterMs, `the last attempt ended with ${end.reason}`));
  }

  #readDeadline(): void {
    const detail = 'the deadline has passed before the answer was whole';
    this.#refuse(refuseNotRun(RefusalReason.DeadlinePassed, 0, detail));
  }

  /** Ends the request with a refusal, as not run only where that holds for all its attempts. */
  #refuse(refusal: Refusal): void {
    if (this.#isEnded) return;
    this.#mayHaveRun ||= this.#attempt !== undefined;
    this.#cancelAttempt();
    const outcome = this.#mayHaveRun ? Outcome.Unknown : refusal.outcome;
    this.#context.metrics.count('request.refused', { reason: refusal.reason });
    this.#relay.refuse({ ...refusal, outcome });
    this.#finish();
  }

  #leaveCaller(): void {
    if (this.#isEnded) return;
    this.#context.metrics.count('request.refused', { reason: RefusalReason.CallerGone });
    this.#cancelAttempt();
    this.#finish();
  }

  #cancelAttempt(): void {
    this.#dropAttempt()?.cancel();
  }

  #finish(): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    clearTimeout(this.#deadlineTimer);
    clearTimeout(this.#retryTimer);
    this.#abort.abort();
    if (this.#permit) {
      const serviceMs = Date.now() - this.#permitAtMs;
      this.#context.admission.observeService(this.pool, serviceMs);
      this.#permit.release();
    }
    this.#onDone(this);
  }
}
