/**
 * Sends orders over an entry's links to side processes and finds the reply to each.
 *
 * An order ends once: with its reply, with the loss of the link, or with the end of its time.
 */
import { GroupListener } from '../membership/groupListener.js';
import { MessageType, type MessageOf } from '../messages/message.js';
import type { Metrics } from '../ports/metrics.js';
import type { EntryBoard } from '../state/entryBoard.js';

import type { ReplyBody } from './rankReply.js';

/** Longest wait for a reply. */
const REPLY_LIMIT_MS = 1_000;

/** An order without the id, which is given when it is sent. */
export type UnsentOrder = Omit<MessageOf<MessageType.GroupOrder>, 'type' | 'orderId'>;

interface Waiting {
  readonly upstream: string;
  readonly end: (reply: ReplyBody | undefined) => void;
}

export interface OrderLinksOptions {
  readonly board: EntryBoard;
  readonly metrics: Metrics;
}

/** Orders of one entry that wait for their replies. */
export class OrderLinks extends GroupListener {
  readonly #board: EntryBoard;

  readonly #metrics: Metrics;

  readonly #waiting = new Map<string, Waiting>();

  #orders = 0;

  constructor(options: OrderLinksOptions) {
    super();
    this.#board = options.board;
    this.#metrics = options.metrics;
  }

  /** Whether an upstream's side process can be reached now. */
  isLinked(upstream: string): boolean {
    return this.#board.upstreams.get(upstream)?.link?.isOpen ?? false;
  }

  /**
   * Sends one order.
   *
   * @returns undefined where no reply came; the order may have taken effect
   */
  send(upstream: string, order: UnsentOrder): Promise<ReplyBody | undefined> {
    const link = this.#board.upstreams.get(upstream)?.link;
    if (!link?.isOpen) {
      this.#metrics.count('groups.order_lost', { reason: 'no-link' });
      return Promise.resolve(undefined);
    }
    this.#orders += 1;
    const orderId = `${this.#board.incarnation}/${this.#orders}`;
    const reply = this.#wait(upstream, orderId);
    link.send({ type: MessageType.GroupOrder, orderId, ...order });
    return reply;
  }

  override onGroupSideOpen(): void {}

  override onGroupSideLost(upstream: string): void {
    [...this.#waiting].forEach(([orderId, waiting]) => {
      if (waiting.upstream === upstream) this.#lose(orderId, 'link-lost');
    });
  }

  override onGroupReply(upstream: string, reply: MessageOf<MessageType.GroupReply>): void {
    const waiting = this.#waiting.get(reply.orderId);
    if (waiting?.upstream !== upstream) {
      this.#metrics.count('groups.reply_dropped');
      return;
    }
    waiting.end({ isOk: reply.isOk, result: reply.result });
  }

  #wait(upstream: string, orderId: string): Promise<ReplyBody | undefined> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.#lose(orderId, 'timeout'), REPLY_LIMIT_MS);
      const end = (reply: ReplyBody | undefined): void => {
        clearTimeout(timer);
        this.#waiting.delete(orderId);
        resolve(reply);
      };
      this.#waiting.set(orderId, { upstream, end });
    });
  }

  #lose(orderId: string, reason: string): void {
    this.#metrics.count('groups.order_lost', { reason });
    this.#waiting.get(orderId)?.end(undefined);
  }
}
