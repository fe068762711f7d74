/**
 * One entry without I/O: composes the controllers that share its board.
 *
 * The daemon connects it to real callers, links and the platform; test harnesses connect it to
 * fakes under a fake clock.
 */
import { ClaimSweeper } from '../claims/claimSweeper.js';
import { ConfigKind } from '../config/object.js';
import { GroupManager } from '../groups/groupManager.js';
import { OrderClient } from '../groups/orderClient.js';
import { QueueAdmission } from '../limits/queueAdmission.js';
import { WorkspaceShares } from '../limits/workspaceShares.js';
import { EntryMembership } from '../membership/entryMembership.js';
import type { OperatorOrder, OrderError, OrderReceipt, OrderStatus } from '../model/order.js';
import type { QueryKind, QueryRow } from '../model/query.js';
import type { CallerRequest } from '../model/request.js';
import type { Timing } from '../model/timing.js';
import { OrderService } from '../orders/orderService.js';
import { QueryService } from '../orders/queryService.js';
import type { Result } from '../outcome.js';
import type { Caller } from '../ports/caller.js';
import type { Link } from '../ports/link.js';
import type { LinkDialer } from '../ports/linkDialer.js';
import type { Log } from '../ports/log.js';
import type { Metrics } from '../ports/metrics.js';
import type { ObjectStore } from '../ports/objectStore.js';
import type { Random } from '../ports/random.js';
import { DomainWeight } from '../routing/domainWeight.js';
import { ForecastRouting } from '../routing/forecastRouting.js';
import { LeavingWeight } from '../routing/leavingWeight.js';
import type { EntryBoard } from '../state/entryBoard.js';

import { RequestController } from './requestController.js';

/** Dependencies and addresses of an entry. */
export interface EntryNodeOptions {
  readonly board: EntryBoard;
  readonly store: ObjectStore;
  readonly dialer: LinkDialer;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly timing: Timing;
  /** Secret shared by all processes of the system. It must never be logged. */
  readonly linkToken: string;
  /** IP address and port at which other processes reach this entry. */
  readonly address: string;
  /** Addresses of the entries to connect to first. */
  readonly seedAddresses: readonly string[];
}

/** Interval between sweeps for expired claims; each sweep covers one part of the claims. */
const SWEEP_INTERVAL_MS = 300_000;

/** Longest time for which a new entry waits for an upstream of each pool before it is ready. */
const STARTUP_LIMIT_MS = 5_000;

/** One entry: requests, membership, groups, operators' orders and claim sweeping. */
export class EntryNode {
  readonly #board: EntryBoard;

  readonly #requests: RequestController;

  readonly #membership: EntryMembership;

  readonly #groups: GroupManager;

  readonly #orders: OrderService;

  readonly #queries: QueryService;

  readonly #sweeper: ClaimSweeper;

  #sweepTimer: NodeJS.Timeout | undefined;

  #startedAtMs = 0;

  #isStartupComplete = false;

  constructor(options: EntryNodeOptions) {
    this.#board = options.board;
    const shares = new WorkspaceShares(options);
    this.#requests = new RequestController({
      ...options,
      shares,
      routing: new ForecastRouting({
        ...options,
        weights: [new DomainWeight(), new LeavingWeight()],
      }),
      admission: new QueueAdmission(),
    });
    const links = new OrderClient(options);
    this.#membership = new EntryMembership({
      ...options,
      token: options.linkToken,
      attempts: this.#requests,
      groups: links,
      shares,
    });
    const { feed, pace } = this.#membership;
    this.#groups = new GroupManager({ ...options, links, feed, pace });
    this.#orders = new OrderService({
      ...options,
      feed,
      pace,
      handlers: new Map(),
    });
    this.#sweeper = new ClaimSweeper(options.store);
    this.#queries = new QueryService({
      board: options.board,
      listRequests: () => this.#requests.listInFlight(),
      listGroups: () => this.#groups.list(),
    });
  }

  /** Starts membership, claim sweeps and the coordination of the groups. */
  start(): void {
    this.#startedAtMs = Date.now();
    this.#membership.start();
    this.#sweepTimer = setInterval(() => {
      this.#sweeper.sweepNext(Date.now()).catch(() => {});
    }, SWEEP_INTERVAL_MS);
    this.#groups.start();
  }

  /**
   * Whether the balancer in front may send requests here: the configuration is current, no planned
   * stop is in progress, and the startup wait for upstreams is over.
   */
  isReady(): boolean {
    if (this.#board.isStopping || !this.#board.isCurrent) return false;
    return this.#board.config.revision > 0 && this.#hasCompletedStartup();
  }

  /** Number of requests that have neither been answered nor refused. */
  get inFlightCount(): number {
    return this.#requests.listInFlight().length;
  }

  /** Accepts a caller's request. The answer or refusal is delivered to the caller. */
  accept(request: CallerRequest, caller: Caller): void {
    this.#requests.accept(request, caller);
  }

  /** Attaches a link that another entry has opened. */
  attachPeer(link: Link): void {
    this.#membership.accept(link);
  }

  /** Answers an operator's query. */
  query(kind: QueryKind, filter: Readonly<Record<string, string>>): readonly QueryRow[] {
    return this.#queries.query(kind, filter);
  }

  /**
   * Accepts an operator's order.
   *
   * @param orderId chosen by the client, so that it can look up the order if the reply is lost
   */
  give(
    order: OperatorOrder,
    orderId: string | undefined,
  ): Promise<Result<OrderReceipt, OrderError>> {
    return this.#orders.give(order, orderId);
  }

  /** Reads the status of an order. */
  read(orderId: string): Promise<Result<OrderStatus, OrderError>> {
    return this.#orders.read(orderId);
  }

  /** Makes the entry unready at the start of a planned stop. Requests are still served. */
  beginStop(): void {
    this.#board.isStopping = true;
  }

  /**
   * Refuses new requests. Resolves once the requests in flight and any switch of an expert map have
   * ended.
   */
  async drain(): Promise<void> {
    await Promise.all([this.#requests.drain(), this.#groups.stop()]);
  }

  /** Ends a planned stop by removing this entry from the registry, so that peers stop using it. */
  async leave(): Promise<void> {
    clearInterval(this.#sweepTimer);
    await this.#membership.leave();
  }

  /** Stops watching the platform and closes all links. */
  stop(): void {
    clearInterval(this.#sweepTimer);
    this.#groups.stop().catch(() => {});
    this.#membership.stop();
  }

  /**
   * Whether the startup wait for upstreams is over. Latched, so that losing all upstreams of one
   * pool later does not make this entry unready for the other pools.
   */
  #hasCompletedStartup(): boolean {
    if (this.#isStartupComplete) return true;
    this.#isStartupComplete =
      Date.now() - this.#startedAtMs > STARTUP_LIMIT_MS || this.#hasUpstreamInEachPool();
    return this.#isStartupComplete;
  }

  #hasUpstreamInEachPool(): boolean {
    const upstreams = [...this.#board.upstreams.values()];
    const reporting = upstreams.filter(({ report }) => report !== undefined);
    const pools = new Set(reporting.map(({ pool }) => pool));
    return this.#board.config.list(ConfigKind.Pool).every(({ name }) => pools.has(name));
  }
}
