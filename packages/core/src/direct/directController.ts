/**
 * The request path of an entry that calls upstreams itself: finds route, workspace and pool, and
 * keeps the requests in progress.
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
import { DirectRun } from './directRun.js';
import type { FleetBoard } from './fleetBoard.js';
import { PoolDesk } from './poolDesk.js';
import { ReturnWatch } from './returnWatch.js';
import {
  choosePool,
  RouteKind,
  type DirectPool,
  type DirectWorkspace,
  type Route,
  type RouteTable,
} from './routeTable.js';

const LOG_PART = 'request';

/** Time after which a caller is asked to come back to an entry that has no configuration yet. */
const NO_CONFIG_RETRY_MS = 300;

/** The same for an entry in a planned stop: the balancer has others by then. */
const STOPPING_RETRY_MS = 100;

/** The same for a request that it cannot finish: another entry is back in about a second. */
const STOPPING_STREAM_RETRY_MS = 1_000;

/** Part of the shared retry allowance that is used: entries count their windows apart. */
const BUDGET_PART = 0.7;

/** Part of a cold upstream's bound that is used: requests bunch up on their way. */
const COLD_PART = 0.8;

export interface DirectControllerOptions {
  readonly board: FleetBoard;
  readonly upstreams: UpstreamCaller;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Where a request goes. */
interface Target {
  readonly route: Route;
  readonly workspace: DirectWorkspace | undefined;
  readonly pool: DirectPool;
}

/** Requests of one entry. */
export class DirectController {
  readonly #options: DirectControllerOptions;

  readonly #context: DirectContext;

  readonly #desks = new Map<string, PoolDesk>();

  readonly #budgets = new Map<string, RetryBudget>();

  readonly #returns = new ReturnWatch();

  readonly #runs = new Set<DirectRun>();

  #isRefusing = false;

  /** When the process ends; undefined where no planned stop has come that far. */
  #endAtMs: number | undefined;

  #tableVersion = 0;

  constructor(options: DirectControllerOptions) {
    this.#options = options;
    this.#context = {
      ...options,
      takeRetry: (pool, nowMs) => this.#findBudget(pool).take(this.#retryShare, nowMs),
      mayRetry: (pool, nowMs) => this.#findBudget(pool).mayTake(this.#retryShare, nowMs),
    };
  }

  /** Retries of this entry for each of its requests. */
  get #retryShare(): number {
    return this.#options.board.bounds.retryShare * BUDGET_PART;
  }

  get inFlightCount(): number {
    return this.#runs.size;
  }

  /** Streams in progress. */
  get streamCount(): number {
    return [...this.#runs].filter(({ isStream }) => isStream).length;
  }

  /**
   * Takes only what is over before the process ends. Callers that still come have no other entry:
   * all of them may be stopping.
   */
  takeShortOnly(endAtMs: number): void {
    this.#endAtMs = endAtMs;
  }

  /** Refuses new requests from now on. */
  refuseNew(): void {
    this.#isRefusing = true;
  }

  /** Ends all requests in progress, as the process is about to end. */
  breakOff(): void {
    [...this.#runs].forEach((run) => run.breakOff());
  }

  /** Takes a caller's request; the caller hears of its end. */
  accept(request: ForwardedRequest, caller: Caller): void {
    const target = this.#findTarget(request);
    if (!target.ok) {
      this.#refuse(request, caller, target.val);
      return;
    }
    const { route, workspace, pool } = target.val;
    if (!this.#isShortEnough(route)) {
      const detail = 'this entry is in a planned stop, and a request of this route may last longer';
      const retryAfterMs = STOPPING_STREAM_RETRY_MS;
      this.#refuse(request, caller, refuseNotRun(RefusalReason.ShuttingDown, retryAfterMs, detail));
      return;
    }
    const nowMs = performance.now();
    this.#findBudget(pool.name).noteRequest(nowMs);
    const run = new DirectRun({
      context: this.#context,
      request,
      caller,
      route,
      workspace,
      pool: pool.name,
      desk: this.#findDesk(pool),
      returned: this.#returns.judge(route.name, request.deadlineMs ?? route.timeoutMs, nowMs),
      onDone: (done, refusal) => this.#remove(done, refusal),
    });
    this.#runs.add(run);
    run.start();
  }

  #remove(run: DirectRun, refusal: Refusal | undefined): void {
    this.#runs.delete(run);
    if (refusal) this.#returns.noteRefusal(refusal.retryAfterMs, performance.now());
  }

  #isShortEnough({ kind, timeoutMs }: Route): boolean {
    if (this.#endAtMs === undefined) return true;
    return kind !== RouteKind.Stream && performance.now() + timeoutMs < this.#endAtMs;
  }

  #findTarget(request: ForwardedRequest): Result<Target, Refusal> {
    const { table } = this.#options.board;
    if (this.#isRefusing) {
      const detail = 'this entry is in a planned stop';
      return Err(refuseNotRun(RefusalReason.ShuttingDown, STOPPING_RETRY_MS, detail));
    }
    if (!table) {
      const detail = 'no configuration is known yet';
      return Err(refuseNotRun(RefusalReason.NoConfiguration, NO_CONFIG_RETRY_MS, detail));
    }
    this.#followTable(table);
    const route = table.findRoute(request.host, request.path);
    if (!route) {
      const detail = `no route of host ${request.host} begins path ${request.path}`;
      return Err(refuseNotRun(RefusalReason.UnknownRoute, 0, detail));
    }
    const workspace = table.findWorkspace(request.workspaceKey);
    if (!workspace && table.needsKey(route)) {
      const detail = `route ${route.name} needs the key of a workspace`;
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
    log.write(LogLevel.Info, LOG_PART, 'Refused.', { id: request.id, reason, detail });
    caller.refuse(refusal);
  }

  #findDesk(pool: DirectPool): PoolDesk {
    const known = this.#desks.get(pool.name);
    if (known) return known;
    const options = { ...this.#options, readStartBound: this.#readStartBound };
    const desk = new PoolDesk(options, pool);
    this.#desks.set(pool.name, desk);
    return desk;
  }

  readonly #readStartBound = ({ coldPerS }: DirectPool): number | undefined => {
    const { coldFactor, coldAddition } = this.#options.board.bounds;
    return coldPerS > 0 ? (coldPerS * coldFactor + coldAddition) * COLD_PART : undefined;
  };

  /** What is kept for pools and routes follows the table in force. */
  #followTable(table: RouteTable): void {
    if (table.version === this.#tableVersion) return;
    this.#tableVersion = table.version;
    this.#desks.forEach((desk, name) => {
      const pool = table.findPool(name);
      if (pool) desk.update(pool);
      else {
        desk.close();
        this.#desks.delete(name);
      }
    });
    [...this.#budgets.keys()]
      .filter((name) => !table.findPool(name))
      .forEach((name) => this.#budgets.delete(name));
    this.#returns.keepRoutes(table.listRouteNames());
  }

  #findBudget(pool: string): RetryBudget {
    const known = this.#budgets.get(pool);
    if (known) return known;
    const { board } = this.#options;
    const budget = new RetryBudget(() => ({
      windowMs: board.bounds.retryWindowMs,
      floor: (board.bounds.retryFloor * BUDGET_PART) / board.entryCount,
    }));
    this.#budgets.set(pool, budget);
    return budget;
  }
}
