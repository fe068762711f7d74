/**
 * Forwards group orders to the engine, of which this process is the only caller.
 *
 * Orders run one at a time. An order whose fencing number is below the highest seen is refused,
 * even if the engine does not check fencing numbers. Orders are deduplicated by id: a repeated
 * order gets the reply of the first, unless that outcome is unknown; then it is sent to the engine
 * again under the same id. Orders that concern a rank's expert map go through the rank's guard,
 * which does its own fencing.
 */
import PQueue from 'p-queue';

import { containFault } from '../fault.js';
import { ENGINE_ORDER_LIMIT_MS, RankOrderHandler } from '../groups/rankOrderHandler.js';
import { MessageType, type MessageOf } from '../messages/message.js';
import { EngineOrderErrorKind, type EngineOrder } from '../ports/engine.js';

import type { LinkSession } from './linkSession.js';
import type { OrderTarget, SideOptions } from './sideOptions.js';

const LOG_PART = 'side';

/** Most replies remembered for repeated orders. */
const MAX_KEPT_REPLIES = 1_000;

/** Most orders that wait for execution. */
const MAX_QUEUED_ORDERS = 64;

/** Time after which the outcome is reported as unknown; the order itself continues. */
const REPLY_TIMEOUT_MS = 5_000;

type Reply = Omit<MessageOf<MessageType.GroupReply>, 'type' | 'orderId'>;

function makeErrorReply(kind: EngineOrderErrorKind, detail: string): Reply {
  return { isOk: false, result: { error: kind, detail } };
}

const REPLY_FENCED = makeErrorReply(
  EngineOrderErrorKind.Fenced,
  'fencing number is out of date: a higher one was seen',
);
const REPLY_TIMED_OUT = makeErrorReply(
  EngineOrderErrorKind.Unknown,
  'engine did not reply in time',
);
const REPLY_UNKNOWN = makeErrorReply(
  EngineOrderErrorKind.Unknown,
  'an internal error occurred while the order was executed',
);
const REPLY_QUEUE_FULL = makeErrorReply(EngineOrderErrorKind.Refused, 'order queue is full');

function isFinal(reply: Reply): boolean {
  return reply.isOk || reply.result.error === EngineOrderErrorKind.Refused;
}

function withReplyTimeout(reply: Promise<Reply>): Promise<Reply> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => resolve(REPLY_TIMED_OUT), REPLY_TIMEOUT_MS);
    reply.then((value) => {
      clearTimeout(timer);
      resolve(value);
    });
  });
}

/** Executes group orders in sequence, with fencing and deduplication. */
export class GroupOrderForwarder {
  readonly #options: SideOptions;

  readonly #target: OrderTarget;

  readonly #rankOrders: RankOrderHandler;

  readonly #queue = new PQueue({ concurrency: 1 });

  readonly #running = new Map<string, Promise<Reply>>();

  readonly #replies = new Map<string, Reply>();

  #highestFencingNumber = 0;

  constructor(options: SideOptions) {
    this.#options = options;
    this.#target = options.orderTarget ?? options.engine;
    const { incarnation } = options.board;
    const engineOrderLimitMs = options.engineOrderLimitMs ?? ENGINE_ORDER_LIMIT_MS;
    const guardOptions = { incarnation, engineOrderLimitMs };
    this.#rankOrders = new RankOrderHandler(this.#target, guardOptions, options.metrics);
  }

  /** Highest fencing number seen by this process. */
  get highestFencingNumber(): number {
    return this.#highestFencingNumber;
  }

  /** Executes an order and replies on the session that it came from; no reply after a fault. */
  async handle(session: LinkSession, message: MessageOf<MessageType.GroupOrder>): Promise<void> {
    await containFault(this.#options, LOG_PART, () => this.#handle(session, message));
  }

  async #handle(session: LinkSession, message: MessageOf<MessageType.GroupOrder>): Promise<void> {
    if (RankOrderHandler.isRankAction(message.action)) {
      session.send(await this.#rankOrders.handle(message));
      return;
    }
    const reply = await withReplyTimeout(this.#findReply(message) ?? this.#enqueue(message));
    const outcome = reply.isOk ? 'done' : String(reply.result.error);
    this.#options.metrics.count('side.group_order', { outcome });
    session.send({ type: MessageType.GroupReply, orderId: message.orderId, ...reply });
  }

  #findReply({ orderId }: EngineOrder): Promise<Reply> | undefined {
    const known = this.#replies.get(orderId);
    return known ? Promise.resolve(known) : this.#running.get(orderId);
  }

  #enqueue(order: EngineOrder): Promise<Reply> {
    if (order.fencingNumber < this.#highestFencingNumber) return Promise.resolve(REPLY_FENCED);
    if (this.#queue.size >= MAX_QUEUED_ORDERS) return Promise.resolve(REPLY_QUEUE_FULL);
    this.#highestFencingNumber = order.fencingNumber;
    const reply = this.#queue.add(() => this.#executeContained(order));
    this.#running.set(order.orderId, reply);
    reply.then((value) => this.#remember(order.orderId, value));
    return reply;
  }

  async #executeContained(order: EngineOrder): Promise<Reply> {
    const executed = await containFault(this.#options, LOG_PART, () => this.#execute(order));
    return executed.ok ? executed.val : REPLY_UNKNOWN;
  }

  /** Checks the fencing number again: a higher one may have arrived while the order waited. */
  async #execute(order: EngineOrder): Promise<Reply> {
    if (order.fencingNumber < this.#highestFencingNumber) return REPLY_FENCED;
    const { orderId, fencingNumber, action, params } = order;
    const result = await this.#target.order({ orderId, fencingNumber, action, params });
    if (result.ok) return { isOk: true, result: { ...result.val } };
    const { kind, detail } = result.val;
    if (kind === EngineOrderErrorKind.Fenced) this.#raiseFencingNumber(fencingNumber);
    return makeErrorReply(kind, detail);
  }

  /** The engine has seen a higher number than this process, which may have restarted since. */
  #raiseFencingNumber(refusedNumber: number): void {
    this.#highestFencingNumber = Math.max(this.#highestFencingNumber, refusedNumber + 1);
  }

  #remember(orderId: string, reply: Reply): void {
    this.#running.delete(orderId);
    if (!isFinal(reply)) return;
    this.#replies.set(orderId, reply);
    const [oldest] = this.#replies.keys();
    if (this.#replies.size > MAX_KEPT_REPLIES && oldest !== undefined) this.#replies.delete(oldest);
  }
}
