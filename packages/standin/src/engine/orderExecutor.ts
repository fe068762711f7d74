/** Executes orders once per order ID, with an optional check of the fencing number. */
import { Err, Ok, type Result } from '@radishbay/core/outcome.js';
import {
  EngineOrderErrorKind,
  type EngineOrder,
  type EngineOrderError,
} from '@radishbay/core/ports/engine.js';

export type OrderReply = Readonly<Record<string, unknown>>;

/** Executes one kind of order; an Err refuses it. */
export type OrderHandler = (params: OrderReply) => Result<OrderReply, string>;

/** Executes orders and stores the replies, so that a repeated order has no second effect. */
export class OrderExecutor {
  readonly #isFencing: boolean;

  readonly #handlers: ReadonlyMap<string, OrderHandler>;

  readonly #replies = new Map<string, OrderReply>();

  #highestFencingNumber = 0;

  /** @param isFencing whether orders below the highest fencing number seen are refused */
  constructor(isFencing: boolean, handlers: ReadonlyMap<string, OrderHandler>) {
    this.#isFencing = isFencing;
    this.#handlers = handlers;
  }

  /** IDs of the executed orders, in order of execution. */
  get orderIds(): readonly string[] {
    return [...this.#replies.keys()];
  }

  /** Executes an order, or returns the stored reply if its ID was executed before. */
  apply(order: EngineOrder): Result<OrderReply, EngineOrderError> {
    const earlier = this.#replies.get(order.orderId);
    if (earlier) return Ok(earlier);
    if (this.#isFencing && order.fencingNumber < this.#highestFencingNumber) {
      const detail = `fencing number ${this.#highestFencingNumber} was seen`;
      return Err({ kind: EngineOrderErrorKind.Fenced, detail });
    }
    this.#highestFencingNumber = Math.max(this.#highestFencingNumber, order.fencingNumber);
    return this.#execute(order);
  }

  #execute(order: EngineOrder): Result<OrderReply, EngineOrderError> {
    const handler = this.#handlers.get(order.action);
    const reply = handler?.(order.params) ?? Err(`no such action: ${order.action}`);
    if (reply.err) return Err({ kind: EngineOrderErrorKind.Refused, detail: reply.val });
    this.#replies.set(order.orderId, reply.val);
    return reply;
  }
}
