/** Takes the orders that concern a rank from the messages to a side process. */
import { MessageType, type MessageOf } from '../messages/message.js';
import { Err } from '../outcome.js';
import type { Engine } from '../ports/engine.js';
import type { Metrics } from '../ports/metrics.js';

import { NO_BALLOT } from './ballot.js';
import { RankGuard, type RankGuardOptions } from './rankGuard.js';
import { RankAction, RankErrorKind, parseRankOrder } from './rankOrder.js';
import { writeRankReply } from './rankReply.js';

/** Bound on engine orders where the settings name none. */
export const ENGINE_ORDER_LIMIT_MS = 2_000;

const RANK_ACTIONS: ReadonlySet<string> = new Set(Object.values(RankAction));

/** The guard of a rank, as messages reach it. */
export class RankOrderIntake {
  readonly #guard: RankGuard;

  readonly #metrics: Metrics;

  constructor(engine: Pick<Engine, 'order'>, options: RankGuardOptions, metrics: Metrics) {
    this.#guard = new RankGuard(engine, options, metrics);
    this.#metrics = metrics;
  }

  /** Whether an action concerns the rank rather than the engine alone. */
  static isRankAction(action: string): boolean {
    return RANK_ACTIONS.has(action);
  }

  /** Carries an order out and makes the reply to it. */
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
