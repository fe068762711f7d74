/**
 * The request path of an entry: accepts callers' requests and dispatches messages from side
 * processes to the attempts they belong to.
 *
 * Messages are matched to attempts by attempt id and upstream. A message that matches no attempt is
 * counted and dropped.
 */
import { ClaimStore } from '../claims/claimStore.js';
import { ConfigKind, DomainState } from '../config/object.js';
import { LogLevel, type Log } from '../ports/log.js';
import type { AdmissionPolicy } from '../limits/admissionPolicy.js';
import { WorkspaceShares } from '../limits/workspaceShares.js';
import { MessageType, type Message, type MessageOf } from '../messages/message.js';
import type { QueryRow } from '../model/query.js';
import { RefusalReason, type Refusal } from '../model/reason.js';
import type { CallerRequest } from '../model/request.js';
import type { Timing } from '../model/timing.js';
import type { Caller } from '../ports/caller.js';
import type { Metrics } from '../ports/metrics.js';
import type { ObjectStore } from '../ports/objectStore.js';
import type { Random } from '../ports/random.js';
import { RetryPolicy } from '../retry/retryPolicy.js';
import type { RoutingPolicy } from '../routing/routingPolicy.js';
import { computeInFlightLimit, applyReport } from '../routing/upstreamState.js';
import type { EntryBoard } from '../state/entryBoard.js';

import type { Attempt } from './attempt.js';
import { AttemptListener } from './attemptListener.js';
import { refuseNotRun } from './refusal.js';
import { RequestClassifier, type ClassifiedRequest } from './requestClassifier.js';
import type { RequestContext } from './requestContext.js';
import { RequestRun } from './requestRun.js';

const LOG_PART = 'requests';

/** Retry-after hint for requests refused by a stopping entry. */
const STOPPING_RETRY_AFTER_MS = 100;

/** Retry-after hint for requests refused because no upstream accepts requests. */
const NO_UPSTREAM_RETRY_AFTER_MS = 1_000;

/** Dependencies of a request controller. */
export interface RequestControllerOptions {
  readonly board: EntryBoard;
  readonly store: ObjectStore;
  readonly routing: RoutingPolicy;
  readonly admission: AdmissionPolicy;
  /** Rate limits of the workspaces; by default they apply to this entry alone. */
  readonly shares?: WorkspaceShares;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly timing: Timing;
}

/**
 * Whether attempts in flight have to leave a failure domain: operators have drained it, and the
 * `moveAfterMs` of the drain has passed. A `moveAfterMs` of 0 lets them finish where they are.
 */
function hasToMove(board: EntryBoard, name: string, nowMs: number): boolean {
  const domain = board.config.get(ConfigKind.Domain, name);
  if (domain?.state !== DomainState.Drained || domain.moveAfterMs === 0) return false;
  const drainedAtMs = board.drainPeriods.get(name)?.drainedAtMs;
  return drainedAtMs !== undefined && nowMs - drainedAtMs >= domain.moveAfterMs;
}

/** Manages all requests of one entry, from acceptance to the final answer or refusal. */
export class RequestController extends AttemptListener {
  readonly #context: RequestContext;

  readonly #claims: ClaimStore;

  readonly #classifier: RequestClassifier;

  readonly #shares: WorkspaceShares;

  readonly #runs = new Map<string, RequestRun>();

  readonly #attempts = new Map<string, Attempt>();

  readonly #drainWaiters: (() => void)[] = [];

  #isDraining = false;

  constructor(options: RequestControllerOptions) {
    super();
    this.#claims = new ClaimStore(options.store, options);
    this.#shares = options.shares ?? new WorkspaceShares(options);
    const { board, routing, admission, random, log, metrics, timing } = options;
    this.#classifier = new RequestClassifier(board.config);
    this.#context = {
      board,
      routing,
      admission,
      claims: this.#claims,
      retries: new RetryPolicy(random),
      log,
      metrics,
      timing,
      attempts: this.#attempts,
    };
  }

  /** Number of attempts in flight. */
  get attemptCount(): number {
    return this.#attempts.size;
  }

  /** Accepts a caller's request. The answer or refusal is delivered to the caller. */
  accept(request: CallerRequest, caller: Caller): void {
    const nowMs = Date.now();
    const refusal = this.#findStopRefusal();
    if (refusal) {
      this.#refuse(caller, refusal);
      return;
    }
    const classified = this.#classifier.classify(request, nowMs);
    if (!classified.ok) this.#refuse(caller, classified.val);
    else this.#startRun(classified.val, caller, nowMs);
  }

  /** Lists the requests in flight as rows for operators. */
  listInFlight(): readonly QueryRow[] {
    const nowMs = Date.now();
    return [...this.#runs.values()].map((run) => run.describe(nowMs));
  }

  /**
   * Refuses new requests from now on. Resolves once the requests in flight have ended and their
   * claims are settled.
   */
  async drain(): Promise<void> {
    this.#isDraining = true;
    this.#context.board.isStopping = true;
    await this.#waitForRuns();
    await this.#claims.flush();
  }

  onSideOpen(upstream: string): void {
    this.#listAttempts(upstream).forEach((attempt) => attempt.handleLinkOpen());
    this.#updateInFlightLimitFor(upstream);
  }

  onSideLost(upstream: string): void {
    this.#listAttempts(upstream).forEach((attempt) => attempt.handleLinkLost());
    this.#updateInFlightLimitFor(upstream);
  }

  onSideMessage(upstream: string, message: Message): void {
    if (message.type === MessageType.Report) this.#handleReport(upstream, message);
    else if (message.type === MessageType.CacheEvents) {
      this.#context.routing.applyCacheEvents(message);
    } else if ('attemptId' in message) this.#handleAttemptMessage(upstream, message);
  }

  #startRun(classified: ClassifiedRequest, caller: Caller, nowMs: number): void {
    const refusal = this.#findAdmissionRefusal(classified, nowMs);
    if (refusal) {
      this.#refuse(caller, refusal);
      return;
    }
    this.#context.metrics.count('request.accepted');
    this.#context.retries.noteRequest(nowMs);
    const run = new RequestRun(this.#context, classified, caller, (done) => this.#endRun(done));
    this.#runs.set(run.id, run);
    run.start();
  }

  #waitForRuns(): Promise<void> {
    if (this.#runs.size === 0) return Promise.resolve();
    this.#writeLog(LogLevel.Info, 'Drain waits for requests in flight.', {
      count: this.#runs.size,
    });
    return new Promise((resolve) => {
      this.#drainWaiters.push(resolve);
    });
  }

  #findStopRefusal(): Refusal | undefined {
    if (!this.#isDraining) return undefined;
    const detail = 'this entry is in a planned stop';
    return refuseNotRun(RefusalReason.ShuttingDown, STOPPING_RETRY_AFTER_MS, detail);
  }

  #findAdmissionRefusal(classified: ClassifiedRequest, nowMs: number): Refusal | undefined {
    const { name } = classified.pool;
    if (!this.#updateInFlightLimit(name)) {
      const detail = `no upstream of pool ${name} accepts requests`;
      return refuseNotRun(RefusalReason.NoUpstream, NO_UPSTREAM_RETRY_AFTER_MS, detail);
    }
    const waitMs = this.#shares.take(classified.workspace, nowMs);
    if (waitMs === 0) return undefined;
    const detail = `workspace ${classified.workspace.name} is over its request limit`;
    return refuseNotRun(RefusalReason.WorkspaceLimit, waitMs, detail);
  }

  #refuse(caller: Caller, refusal: Refusal): void {
    this.#context.metrics.count('request.refused', { reason: refusal.reason });
    caller.refuse(refusal);
  }

  #endRun(run: RequestRun): void {
    this.#runs.delete(run.id);
    this.#updateInFlightLimit(run.pool);
    if (this.#runs.size > 0) return;
    this.#drainWaiters.splice(0).forEach((resolve) => resolve());
  }

  #listAttempts(upstream: string): readonly Attempt[] {
    return [...this.#attempts.values()].filter((attempt) => attempt.upstream === upstream);
  }

  #handleReport(name: string, message: MessageOf<MessageType.Report>): void {
    const upstream = this.#context.board.upstreams.get(name);
    if (!upstream) return;
    const nowMs = Date.now();
    applyReport(upstream, message.report, nowMs);
    const isServedElsewhere = this.#updateInFlightLimit(upstream.pool);
    if (!isServedElsewhere || !hasToMove(this.#context.board, upstream.domain, nowMs)) return;
    this.#listAttempts(name).forEach((attempt) => attempt.relocate());
  }

  #handleAttemptMessage(upstream: string, message: Message & { attemptId: string }): void {
    const attempt = this.#attempts.get(message.attemptId);
    if (attempt?.upstream === upstream) attempt.handleMessage(message);
    else this.#context.metrics.count('attempt.message-dropped', { type: message.type });
  }

  #updateInFlightLimitFor(name: string): void {
    const upstream = this.#context.board.upstreams.get(name);
    if (upstream) this.#updateInFlightLimit(upstream.pool);
  }

  /**
   * Updates the number of requests that admission lets into a pool at once.
   *
   * @returns whether any upstream of the pool accepts requests
   */
  #updateInFlightLimit(pool: string): boolean {
    const inFlightLimit = computeInFlightLimit(this.#context.board, pool);
    this.#context.admission.setInFlightLimit(pool, inFlightLimit ?? 0);
    return inFlightLimit !== undefined;
  }

  #writeLog(level: LogLevel, sentence: string, fields: Record<string, number>): void {
    this.#context.log.write(level, LOG_PART, sentence, fields);
  }
}
