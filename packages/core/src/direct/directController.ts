/**
 * Accepts requests in an entry that calls upstreams itself: finds route, workspace and pool, and
 * tracks the requests in progress.
 */
import { refuseNotRun } from '../entry/refusal.js';
import { RefusalReason, type Refusal } from '../model/reason.js';
import type { Caller } from '../ports/caller.js';
import { LogLevel, type Log } from '../ports/log.js';
import type { Metrics } from '../ports/metrics.js';
import type { Random } from '../ports/random.js';
import type { ForwardedRequest, UpstreamCaller } from '../ports/upstreamCaller.js';
import { Err, Ok, type Result } from '../outcome.js';
import { RetryBudget } from '../retry/retryBudget.js';

import type { DirectContext } from './directContext.js';
import { DirectRequest } from './directRequest.js';
import type { FleetBoard } from './fleetBoard.js';
import { PoolAdmission } from './poolAdmission.js';
import { CrashDetector } from './prompts/crashDetector.js';
import { QuarantineTelemetry } from './prompts/quarantineTelemetry.js';
import { LimitTelemetry } from './requestLimits/limitTelemetry.js';
import { PermitController } from './requestLimits/permitController.js';
import { ReturnDetector } from './returnDetector.js';
import {
  choosePool,
  RouteKind,
  type DirectPool,
  type DirectWorkspace,
  type Route,
  type RouteTable,
} from './routeTable.js';

const LOG_PART = 'request';

/** Retry-After delay, in milliseconds, while the entry has no configuration yet. */
const NO_CONFIG_RETRY_MS = 300;

/**
 * Retry-After delay, in milliseconds, during a planned stop: by then the load balancer uses other
 * entries.
 */
const STOPPING_RETRY_MS = 100;

/**
 * Retry-After delay, in milliseconds, for a request that may outlast a planned stop: another entry
 * is back in about a second.
 */
const STOPPING_STREAM_RETRY_MS = 1_000;

/** Part of the shared retry budget that is used, as each entry counts its own time windows. */
const RETRY_BUDGET_FRACTION = 0.7;

/**
 * Part of the start rate limit of a cold upstream that is used, as requests can bunch up in
 * transit.
 */
const COLD_LIMIT_FRACTION = 0.8;

export interface DirectControllerOptions {
  readonly board: FleetBoard;
  readonly upstreams: UpstreamCaller;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Destination of a request. */
interface Target {
  readonly route: Route;
  readonly workspace: DirectWorkspace | undefined;
  readonly pool: DirectPool;
}

/** Requests of one entry. */
export class DirectController {
  readonly #options: DirectControllerOptions;

  readonly #context: DirectContext;

  readonly #admissions = new Map<string, PoolAdmission>();

  readonly #budgets = new Map<string, RetryBudget>();

  readonly #returnDetector = new ReturnDetector();

  readonly #requests = new Set<DirectRequest>();

  readonly #permits: PermitController;

  #isRefusing = false;

  /** When the process exits; undefined until a planned stop limits requests by their duration. */
  #endAtMs: number | undefined;

  #tableVersion = 0;

  constructor(options: DirectControllerOptions) {
    this.#options = options;
    const { quarantine } = options.board;
    this.#context = {
      ...options,
      crashes: new CrashDetector({ ...options, quarantine }),
      takeRetry: (pool, nowMs) => this.#findBudget(pool).take(this.#retryShare, nowMs),
      mayRetry: (pool, nowMs) => this.#findBudget(pool).canTake(this.#retryShare, nowMs),
    };
    quarantine.addListener(new QuarantineTelemetry(options));
    options.board.limits.addListener(new LimitTelemetry(options));
    this.#permits = new PermitController(options);
    quarantine.onHold(() => this.#requests.forEach((each) => each.applyQuarantine()));
  }

  /** Retries that this entry allows for each of its requests. */
  get #retryShare(): number {
    return this.#options.board.bounds.retryShare * RETRY_BUDGET_FRACTION;
  }

  get inFlightCount(): number {
    return this.#requests.size;
  }

  /** Number of streams in progress. */
  get streamCount(): number {
    return [...this.#requests].filter(({ isStream }) => isStream).length;
  }

  /**
   * Accepts only requests that end before the process exits. Callers that still connect may have
   * no other entry, as all of them may be stopping.
   */
  acceptOnlyShortRequests(endAtMs: number): void {
    this.#endAtMs = endAtMs;
  }

  /** Refuses all new requests from now on. */
  refuseNewRequests(): void {
    this.#isRefusing = true;
  }

  /** Aborts all requests in progress, as the process is about to exit. */
  abortAll(): void {
    [...this.#requests].forEach((directRequest) => directRequest.abort());
    this.#permits.stop();
  }

  /** Handles a caller's request. Its response or refusal goes to the caller. */
  accept(request: ForwardedRequest, caller: Caller): void {
    const target = this.#findTarget(request);
    if (!target.ok) {
      this.#refuse(request, caller, target.val);
      return;
    }
    const { route, workspace, pool } = target.val;
    if (!this.#canFinishBeforeStop(route)) {
      const detail = 'this entry is stopping, and a request of this route may outlast the stop';
      const retryAfterMs = STOPPING_STREAM_RETRY_MS;
      this.#refuse(request, caller, refuseNotRun(RefusalReason.ShuttingDown, retryAfterMs, detail));
      return;
    }
    const nowMs = performance.now();
    this.#findBudget(pool.name).noteRequest(nowMs);
    const directRequest = new DirectRequest({
      context: this.#context,
      request,
      caller,
      route,
      workspace,
      pool: pool.name,
      admission: this.#findAdmission(pool),
      returnAssessment: this.#returnDetector.assess(
        route.name,
        request.deadlineMs ?? route.timeoutMs,
        nowMs,
      ),
      onDone: (finished, refusal) => this.#remove(finished, refusal),
    });
    this.#requests.add(directRequest);
    directRequest.start();
  }

  #remove(directRequest: DirectRequest, refusal: Refusal | undefined): void {
    this.#requests.delete(directRequest);
    if (refusal) this.#returnDetector.noteRefusal(refusal.retryAfterMs, performance.now());
  }

  #canFinishBeforeStop({ kind, timeoutMs }: Route): boolean {
    if (this.#endAtMs === undefined) return true;
    return kind !== RouteKind.Stream && performance.now() + timeoutMs < this.#endAtMs;
  }

  #findTarget(request: ForwardedRequest): Result<Target, Refusal> {
    const { table } = this.#options.board;
    if (this.#isRefusing) {
      const detail = 'this entry is stopping';
      return Err(refuseNotRun(RefusalReason.ShuttingDown, STOPPING_RETRY_MS, detail));
    }
    if (!table) {
      const detail = 'this entry has no configuration yet';
      return Err(refuseNotRun(RefusalReason.NoConfiguration, NO_CONFIG_RETRY_MS, detail));
    }
    this.#applyTable(table);
    const route = table.findRoute(request.host, request.path);
    if (!route) {
      const detail = `no route of host ${request.host} matches path ${request.path}`;
      return Err(refuseNotRun(RefusalReason.UnknownRoute, 0, detail));
    }
    const workspace = table.findWorkspace(request.workspaceKey);
    if (!workspace && table.isKeyRequired(route)) {
      const detail = `route ${route.name} requires the API key of a workspace`;
      return Err(refuseNotRun(RefusalReason.UnknownWorkspace, 0, detail));
    }
    return this.#findPool(table, route, workspace);
  }

  #findPool(
    table: RouteTable,
    route: Route,
    workspace: DirectWorkspace | undefined,
  ): Result<Target, Refusal> {
    const name = choosePool(route, this.#options.random.next());
    const pool = name === undefined ? undefined : table.findPool(name);
    if (pool) return Ok({ route, workspace, pool });
    const detail = `pool ${name ?? '?'} of route ${route.name} is not configured`;
    return Err(refuseNotRun(RefusalReason.UnknownPool, NO_CONFIG_RETRY_MS, detail));
  }

  #refuse(request: ForwardedRequest, caller: Caller, refusal: Refusal): void {
    const { metrics, log } = this.#options;
    const { reason, detail } = refusal;
    metrics.count('request.refused', { reason });
    log.write(LogLevel.Info, LOG_PART, 'Request refused.', { id: request.id, reason, detail });
    caller.refuse(refusal);
  }

  #findAdmission(pool: DirectPool): PoolAdmission {
    const known = this.#admissions.get(pool.name);
    if (known) return known;
    const options = { ...this.#options, getStartLimitPerS: this.#getStartLimitPerS };
    const admission = new PoolAdmission(options, pool);
    this.#admissions.set(pool.name, admission);
    return admission;
  }

  readonly #getStartLimitPerS = ({ coldPerS }: DirectPool): number | undefined => {
    const { coldFactor, coldAddition } = this.#options.board.bounds;
    return coldPerS > 0 ? (coldPerS * coldFactor + coldAddition) * COLD_LIMIT_FRACTION : undefined;
  };

  /** Applies a new route table: updates or removes the state kept for pools and routes. */
  #applyTable(table: RouteTable): void {
    if (table.version === this.#tableVersion) return;
    this.#tableVersion = table.version;
    this.#admissions.forEach((admission, name) => {
      const pool = table.findPool(name);
      if (pool) admission.update(pool);
      else {
        admission.close();
        this.#admissions.delete(name);
      }
    });
    [...this.#budgets.keys()]
      .filter((name) => !table.findPool(name))
      .forEach((name) => this.#budgets.delete(name));
    this.#returnDetector.retainRoutes(table.listRouteNames());
  }

  #findBudget(pool: string): RetryBudget {
    const known = this.#budgets.get(pool);
    if (known) return known;
    const { board } = this.#options;
    const budget = new RetryBudget(() => ({
      windowMs: board.bounds.retryWindowMs,
      floor: (board.bounds.retryFloor * RETRY_BUDGET_FRACTION) / board.entryCount,
    }));
    this.#budgets.set(pool, budget);
    return budget;
  }
}
