/** Handles the order messages to a side process that concern its rank. */
import { MessageType, type MessageOf } from '../messages/message.js';
import { Err } from '../outcome.js';
import type { Engine } from '../ports/engine.js';
import type { Metrics } from '../ports/metrics.js';

import { NO_BALLOT } from './ballot.js';
import { RankGuard, type RankGuardOptions } from './rankGuard.js';
import { RankAction, RankErrorKind, parseRankOrder } from './rankOrder.js';
import { writeRankReply } from './rankReply.js';

/** Default time after which an order sent to the engine has taken effect or never will. */
export const ENGINE_ORDER_LIMIT_MS = 2_000;

const RANK_ACTIONS: ReadonlySet<string> = new Set(Object.values(RankAction));

/** Validates order messages, executes them through the rank's guard and makes the replies. */
export class RankOrderHandler {
  readonly #guard: RankGuard;

  readonly #metrics: Metrics;

  constructor(engine: Pick<Engine, 'order'>, options: RankGuardOptions, metrics: Metrics) {
    this.#guard = new RankGuard(engine, options, metrics);
    this.#metrics = metrics;
  }

  /** Whether an action is one of {@link RankAction}, as opposed to an order to the engine only. */
  static isRankAction(action: string): boolean {
    return RANK_ACTIONS.has(action);
  }

  /** Executes an order and returns the reply to it. */
  async handle(
    message: MessageOf<MessageType.GroupOrder>,
  ): Promise<MessageOf<MessageType.GroupReply>> {
    const { orderId, action, params } = message;
    const order = parseRankOrder(action, params);
    if (!order.ok) this.#metrics.count('groups.rank_refused', { reason: 'unreadable' });
    const answer = order.ok
      ? await this.#guard.handle(order.val)
      : Err({ kind: RankErrorKind.Invalid, detail: order.val, promised: NO_BALLOT });
    return { type: MessageType.GroupReply, orderId, ...writeRankReply(answer) };
  }
}
