/**
 * Sends orders over an entry's links to side processes and matches replies to orders by id.
 *
 * Each order ends once: with its reply, when its link is lost, or when it times out.
 */
import { GroupListener } from '../membership/groupListener.js';
import { MessageType, type MessageOf } from '../messages/message.js';
import type { Metrics } from '../ports/metrics.js';
import type { EntryBoard } from '../state/entryBoard.js';

import type { ReplyBody } from './rankReply.js';

const REPLY_TIMEOUT_MS = 1_000;

/** An order without its id, which is assigned when it is sent. */
export type UnsentOrder = Omit<MessageOf<MessageType.GroupOrder>, 'type' | 'orderId'>;

interface PendingOrder {
  readonly upstream: string;
  readonly end: (reply: ReplyBody | undefined) => void;
}

export interface OrderClientOptions {
  readonly board: EntryBoard;
  readonly metrics: Metrics;
}

/** Sends the orders of one entry and tracks those without a reply. */
export class OrderClient extends GroupListener {
  readonly #board: EntryBoard;

  readonly #metrics: Metrics;

  readonly #pending = new Map<string, PendingOrder>();

  #orderCount = 0;

  constructor(options: OrderClientOptions) {
    super();
    this.#board = options.board;
    this.#metrics = options.metrics;
  }

  /** Whether the link to an upstream's side process is open. */
  isLinked(upstream: string): boolean {
    return this.#board.upstreams.get(upstream)?.link?.isOpen ?? false;
  }

  /**
   * Sends one order.
   *
   * @returns the reply; undefined if none came, in which case the order may have taken effect
   */
  send(upstream: string, order: UnsentOrder): Promise<ReplyBody | undefined> {
    const link = this.#board.upstreams.get(upstream)?.link;
    if (!link?.isOpen) {
      this.#metrics.count('groups.order_lost', { reason: 'no-link' });
      return Promise.resolve(undefined);
    }
    this.#orderCount += 1;
    const orderId = `${this.#board.incarnation}/${this.#orderCount}`;
    const reply = this.#waitForReply(upstream, orderId);
    link.send({ type: MessageType.GroupOrder, orderId, ...order });
    return reply;
  }

  override onGroupSideOpen(): void {}

  override onGroupSideLost(upstream: string): void {
    [...this.#pending].forEach(([orderId, order]) => {
      if (order.upstream === upstream) this.#failOrder(orderId, 'link-lost');
    });
  }

  override onGroupReply(upstream: string, reply: MessageOf<MessageType.GroupReply>): void {
    const order = this.#pending.get(reply.orderId);
    if (order?.upstream !== upstream) {
      this.#metrics.count('groups.reply_dropped');
      return;
    }
    order.end({ isOk: reply.isOk, result: reply.result });
  }

  #waitForReply(upstream: string, orderId: string): Promise<ReplyBody | undefined> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.#failOrder(orderId, 'timeout'), REPLY_TIMEOUT_MS);
      const end = (reply: ReplyBody | undefined): void => {
        clearTimeout(timer);
        this.#pending.delete(orderId);
        resolve(reply);
      };
      this.#pending.set(orderId, { upstream, end });
    });
  }

  #failOrder(orderId: string, reason: string): void {
    this.#metrics.count('groups.order_lost', { reason });
    this.#pending.get(orderId)?.end(undefined);
  }
}
