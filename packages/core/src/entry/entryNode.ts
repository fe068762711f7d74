/**
 * One entry without I/O: composes the controllers around the blackboard.
 *
 * The daemon feeds it callers, links and the platform; a harness feeds it the same under a fake
 * clock.
 */
import { ClaimSweeper } from '../claims/claimSweeper.js';
import { ConfigKind } from '../config/object.js';
import { GroupFleet } from '../groups/groupFleet.js';
import { OrderLinks } from '../groups/orderLinks.js';
import { QueueAdmission } from '../limits/queueAdmission.js';
import { WorkspaceShares } from '../limits/workspaceShares.js';
import { EntryMembership } from '../membership/entryMembership.js';
import type { OperatorOrder, OrderError, OrderReceipt, OrderStatus } from '../model/order.js';
import type { QueryKind, QueryRow } from '../model/query.js';
import type { CallerRequest } from '../model/request.js';
import type { Timing } from '../model/timing.js';
import { OrderDesk } from '../orders/orderDesk.js';
import { QueryDesk } from '../orders/queryDesk.js';
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

export interface EntryNodeOptions {
  readonly board: EntryBoard;
  readonly store: ObjectStore;
  readonly dialer: LinkDialer;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly timing: Timing;
  /** Shared by all processes of the system; never logged. */
  readonly linkToken: string;
  /** IP number and port at which other processes reach this entry. */
  readonly address: string;
  /** Addresses of other entries to begin with. */
  readonly seedAddresses: readonly string[];
}

/** Time between two parts of the claims that are looked through for old ones. */
const SWEEP_INTERVAL_MS = 300_000;

/** Longest time for which a new entry waits for an upstream of each pool. */
const STARTUP_LIMIT_MS = 5_000;

/** An entry. */
export class EntryNode {
  readonly #board: EntryBoard;

  readonly #requests: RequestController;

  readonly #membership: EntryMembership;

  readonly #groups: GroupFleet;

  readonly #orders: OrderDesk;

  readonly #queries: QueryDesk;

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
    const links = new OrderLinks(options);
    this.#membership = new EntryMembership({
      ...options,
      token: options.linkToken,
      attempts: this.#requests,
      groups: links,
      shares,
    });
    const { feed, pace } = this.#membership;
    this.#groups = new GroupFleet({ ...options, links, feed, pace });
    this.#orders = new OrderDesk({
      ...options,
      feed,
      pace,
      handlers: new Map(),
    });
    this.#sweeper = new ClaimSweeper(options.store);
    this.#queries = new QueryDesk({
      board: options.board,
      listRequests: () => this.#requests.listInFlight(),
      listGroups: () => this.#groups.list(),
    });
  }

  /** Begins to follow the platform and to dial. */
  start(): void {
    this.#startedAtMs = Date.now();
    this.#membership.start();
    this.#sweepTimer = setInterval(() => {
      this.#sweeper.sweepNext(Date.now()).catch(() => {});
    }, SWEEP_INTERVAL_MS);
    this.#groups.start();
  }

  /**
   * Whether the balancer may send requests here: current, not in a planned stop, and past the first
   * look for upstreams.
   */
  isReady(): boolean {
    if (this.#board.isStopping || !this.#board.isCurrent) return false;
    return this.#board.config.revision > 0 && this.#hasCompletedStartup();
  }

  /** Requests that have not had their final answer. */
  get inFlightCount(): number {
    return this.#requests.listInFlight().length;
  }

  /** Takes a caller's request; the caller hears of its end. */
  accept(request: CallerRequest, caller: Caller): void {
    this.#requests.accept(request, caller);
  }

  /** Takes a link that another entry has dialled. */
  attachPeer(link: Link): void {
    this.#membership.accept(link);
  }

  /** Answers an operator's query. */
  query(kind: QueryKind, filter: Readonly<Record<string, string>>): readonly QueryRow[] {
    return this.#queries.query(kind, filter);
  }

  /**
   * Takes an operator's order.
   *
   * @param orderId chosen by the client, so that a lost answer can be read back
   */
  give(
    order: OperatorOrder,
    orderId: string | undefined,
  ): Promise<Result<OrderReceipt, OrderError>> {
    return this.#orders.give(order, orderId);
  }

  /** Reads back what became of an order. */
  read(orderId: string): Promise<Result<OrderStatus, OrderError>> {
    return this.#orders.read(orderId);
  }

  /** Lets the balancer know that a planned stop begins; requests are still served. */
  beginStop(): void {
    this.#board.isStopping = true;
  }

  /** Refuses new requests; resolves once those in flight and a switch of a map have ended. */
  async drain(): Promise<void> {
    await Promise.all([this.#requests.drain(), this.#groups.stop()]);
  }

  /** Ends a planned stop: leaves the registry, so that nobody counts on this entry any more. */
  async leave(): Promise<void> {
    clearInterval(this.#sweepTimer);
    await this.#membership.leave();
  }

  /** Stops following the platform and closes all links. */
  stop(): void {
    clearInterval(this.#sweepTimer);
    this.#groups.stop().catch(() => {});
    this.#membership.stop();
  }

  /** Latched, so that a pool that is lost later does not take this entry out for the others. */
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
