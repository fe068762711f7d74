import { AttemptListener } from '@radishbay/core/entry/attemptListener.js';
import { EntryMembership } from '@radishbay/core/membership/entryMembership.js';
import { GroupListener } from '@radishbay/core/membership/groupListener.js';
import { ShareListener } from '@radishbay/core/membership/shareListener.js';
import { MessageType } from '@radishbay/core/messages/message.js';
import {
  OrderAction,
  type OperatorOrder,
  type OrderError,
  type OrderReceipt,
  type OrderStatus,
} from '@radishbay/core/model/order.js';
import type { Timing } from '@radishbay/core/model/timing.js';
import { OrderService } from '@radishbay/core/orders/orderService.js';
import type { Result } from '@radishbay/core/outcome.js';
import { CountingMetrics } from '@radishbay/core/ports/countingMetrics.js';
import { Random } from '@radishbay/core/ports/random.js';
import { SilentLog } from '@radishbay/core/ports/silentLog.js';
import { findClosedReason } from '@radishbay/core/routing/upstreamState.js';
import { EntryBoard } from '@radishbay/core/state/entryBoard.js';

import type { MemoryObjectStore } from '../../src/platform/memoryStore.js';
import { implement } from './implement.js';
import type { NodeClock } from './nodeClock.js';
import { NodeStore } from './nodeStore.js';
import type { TestNetwork } from './testNetwork.js';

/** Interval at which each entry tries to begin work at every upstream. */
const PROBE_MS = 100;

const ORDER: OperatorOrder = {
  action: OrderAction.DrainDomain,
  target: 'zone-b',
  params: {},
  isForced: false,
  by: 'amina',
};

const NOTHING = () => {};

export interface TestEntryOptions {
  readonly clock: NodeClock;
  readonly network: TestNetwork;
  readonly platform: MemoryObjectStore;
  readonly timing: Timing;
  readonly isProbing: boolean;
  readonly seed: number;
  /** Name of the node, which changes with each incarnation. */
  readonly node: string;
  readonly name: string;
  readonly address: string;
  readonly seedAddresses: readonly string[];
}

/** An entry's controllers, and a probe that begins work wherever it may. */
export class TestEntry {
  readonly board: EntryBoard;

  readonly store: MemoryObjectStore;

  readonly membership: EntryMembership;

  readonly orderService: OrderService;

  readonly metrics = new CountingMetrics();

  readonly node: string;

  readonly #clock: NodeClock;

  #lastAttempt = 0;

  constructor(options: TestEntryOptions) {
    const { clock, network, node, name, address } = options;
    this.node = node;
    this.board = new EntryBoard(name, node, 'zone-a', 'main');
    this.store = options.platform.connect(name);
    const context = {
      board: this.board,
      store: new NodeStore(clock, node, this.store),
      random: new Random(options.seed),
      log: new SilentLog(),
      metrics: this.metrics,
      timing: options.timing,
    };
    this.membership = new EntryMembership({
      ...context,
      dialer: network.createDialer(node),
      token: 'secret',
      address,
      seedAddresses: options.seedAddresses,
      attempts: implement(AttemptListener, {
        onSideOpen: NOTHING,
        onSideLost: NOTHING,
        onSideMessage: NOTHING,
      }),
      groups: implement(GroupListener, {
        onGroupSideOpen: NOTHING,
        onGroupSideLost: NOTHING,
        onGroupReply: NOTHING,
      }),
      shares: implement(ShareListener, {
        onShareMessage: NOTHING,
      }),
    });
    const { feed, pace } = this.membership;
    this.orderService = new OrderService({ ...context, feed, pace, handlers: new Map() });
    this.#clock = clock;
    network.listen(node, address, (link) => this.membership.accept(link));
    clock.run(node, () => {
      this.membership.start();
      if (options.isProbing) setInterval(() => this.#probe(), PROBE_MS);
    });
  }

  /** Gives an order here. */
  give(order: Partial<OperatorOrder>, orderId?: string): Promise<Result<OrderReceipt, OrderError>> {
    const whole = { ...ORDER, ...order };
    return new Promise((resolve) => {
      this.#clock.run(this.node, () => {
        this.orderService.give(whole, orderId).then(resolve);
      });
    });
  }

  /** Reads an order back here. */
  read(orderId: string): Promise<Result<OrderStatus, OrderError>> {
    return new Promise((resolve) => {
      this.#clock.run(this.node, () => {
        this.orderService.read(orderId).then(resolve);
      });
    });
  }

  #probe(): void {
    const { board } = this;
    board.upstreams.forEach((upstream) => {
      if (!board.isCurrent || findClosedReason(board, upstream)) return;
      this.#lastAttempt += 1;
      upstream.link?.send({
        type: MessageType.Submit,
        attemptId: `${this.node}/${this.#lastAttempt}`,
        sideIncarnation: upstream.sideIncarnation,
        echoTickMs: upstream.tickMs,
        configRevision: board.config.revision,
        workspace: 'w',
        className: 'c',
        priority: 0,
        isRepeatable: true,
        isStream: false,
        remainingMs: 10_000,
        progressTimeoutMs: 10_000,
        method: 'GET',
        path: '/',
        headers: {},
        body: new Uint8Array(),
        prefixHashes: [],
        creditBytes: 1_000_000,
      });
    });
  }
}
