/** Orders to an engine: one effect for each order id, and fencing where the engine checks it. */
import { Err, Ok, type Result } from '@radishbay/core/outcome.js';
import {
  EngineOrderErrorKind,
  type EngineOrder,
  type EngineOrderError,
} from '@radishbay/core/ports/engine.js';

export type OrderReply = Readonly<Record<string, unknown>>;

/** Carries out one kind of order; Err refuses it. */
export type OrderHandler = (params: OrderReply) => Result<OrderReply, string>;

/** Remembers orders and their replies. */
export class OrderBook {
  readonly #isFencing: boolean;

  readonly #handlers: ReadonlyMap<string, OrderHandler>;

  readonly #replies = new Map<string, OrderReply>();

  #highestFencingNumber = 0;

  /** @param isFencing whether orders with an old fencing number are refused */
  constructor(isFencing: boolean, handlers: ReadonlyMap<string, OrderHandler>) {
    this.#isFencing = isFencing;
    this.#handlers = handlers;
  }

  /** Ids of the orders carried out, in order. */
  get orderIds(): readonly string[] {
    return [...this.#replies.keys()];
  }

  apply(order: EngineOrder): Result<OrderReply, EngineOrderError> {
    const earlier = this.#replies.get(order.orderId);
    if (earlier) return Ok(earlier);
    if (this.#isFencing && order.fencingNumber < this.#highestFencingNumber) {
      const detail = `fencing number ${this.#highestFencingNumber} was seen`;
      return Err({ kind: EngineOrderErrorKind.Fenced, detail });
    }
    this.#highestFencingNumber = Math.max(this.#highestFencingNumber, order.fencingNumber);
    return this.#carryOut(order);
  }

  #carryOut(order: EngineOrder): Result<OrderReply, EngineOrderError> {
    const handler = this.#handlers.get(order.action);
    const reply = handler?.(order.params) ?? Err(`no such action: ${order.action}`);
    if (reply.err) return Err({ kind: EngineOrderErrorKind.Refused, detail: reply.val });
    this.#replies.set(order.orderId, reply.val);
    return reply;
  }
}
