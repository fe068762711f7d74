/**
 * Accepts operators' orders and reads back their status.
 *
 * An order is accepted when the compare-and-set write of its object has taken effect in the
 * platform. While the platform is down, orders are refused as not accepted: an order that is only
 * kept in memory could be lost with its entries, and an accepted configuration must never revert.
 */
import { withCallTimeout } from '../config/callTimeout.js';
import { ConfigSource, type ConfigFeed } from '../config/configFeed.js';
import type { PlatformPace } from '../config/platformPace.js';
import { Deadline } from '../lease/deadline.js';
import { Backoff } from '../membership/backoff.js';
import {
  OrderAction,
  OrderErrorKind,
  type DomainForecast,
  type OperatorOrder,
  type OrderError,
  type OrderReceipt,
  type OrderStatus,
} from '../model/order.js';
import type { Timing } from '../model/timing.js';
import { Err, Ok, type Result } from '../outcome.js';
import { LogLevel, type Log } from '../ports/log.js';
import type { Metrics } from '../ports/metrics.js';
import {
  VERSION_ABSENT,
  type ObjectStore,
  type StoredObject,
  type StoreError,
} from '../ports/objectStore.js';
import type { Random } from '../ports/random.js';
import type { EntryBoard } from '../state/entryBoard.js';
import { DrainCheck } from './drainCheck.js';
import type { OrderHandler } from './orderHandler.js';
import { planOrder, type OrderPlan } from './orderPlan.js';
import {
  addMark,
  createRecord,
  formatOrderKey,
  isSameOrder,
  parseOrderRecord,
  readMarks,
  type OrderRecord,
} from './orderRecord.js';
import { OrderReader } from './orderReader.js';
import { traceOrder } from './orderTrace.js';
import { RetryingWriter, WriteOutcome, type WriteResult } from './retryingWriter.js';

const PART = 'orders';

/** Time within which an order is accepted, refused, or reported as of unknown outcome. */
const ORDER_LIMIT_MS = 16_000;

/** Time after which the outcome of a call counts as unknown. */
const CALL_TIMEOUT_MS = 4_000;

const RETRY_MIN_MS = 50;

const RETRY_MAX_MS = 1_000;

export interface OrderServiceOptions {
  readonly board: EntryBoard;
  readonly feed: ConfigFeed;
  readonly store: ObjectStore;
  readonly pace: PlatformPace;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly timing: Timing;
  /** Handlers of orders that change no configuration object, by action. */
  readonly handlers: ReadonlyMap<OrderAction, OrderHandler>;
}

/** An order that is being carried out. */
interface PendingOrder {
  readonly id: string;
  readonly order: OperatorOrder;
  readonly plan: OrderPlan;
  readonly until: Deadline;
}

/** The record of an order and its version in the store. */
interface StoredRecord {
  readonly record: OrderRecord;
  readonly version: number;
}

/** Error kinds reported to operators, by the outcome of the write. */
const ERROR_KINDS: Record<WriteOutcome, OrderErrorKind> = {
  [WriteOutcome.Written]: OrderErrorKind.Unknown,
  [WriteOutcome.Conflict]: OrderErrorKind.Conflict,
  [WriteOutcome.NotWritten]: OrderErrorKind.PlatformUnavailable,
  [WriteOutcome.Unknown]: OrderErrorKind.Unknown,
  [WriteOutcome.Invalid]: OrderErrorKind.Invalid,
};

type GiveResult = Result<OrderReceipt, OrderError>;

function describeWinner(current: StoredObject | undefined): string {
  const mark = readMarks(current?.value).slice(-1)[0];
  if (!current) return 'the object was removed';
  if (!mark) return `version ${current.version} was not written by an order`;
  return `${mark.action} by ${mark.by} was applied first (order ${mark.id}, version ${current.version})`;
}

function refuseConflict(orderId: string, current: StoredObject | undefined): GiveResult {
  return Err({ kind: OrderErrorKind.Conflict, detail: describeWinner(current), orderId });
}

function refuseWrite(written: WriteResult, orderId: string): Result<never, OrderError> {
  return Err({ kind: ERROR_KINDS[written.outcome], detail: written.detail, orderId });
}

function refuseRead(error: StoreError, orderId: string): Result<never, OrderError> {
  const detail = `${error.kind}: ${error.detail}`;
  return Err({ kind: OrderErrorKind.PlatformUnavailable, detail, orderId });
}

/** Accepts the orders that operators send to one entry. */
export class OrderService {
  readonly #options: OrderServiceOptions;

  readonly #writer: RetryingWriter;

  readonly #reader: OrderReader;

  readonly #drainCheck: DrainCheck;

  #lastOrder = 0;

  constructor(options: OrderServiceOptions) {
    const { store, pace, random, board } = options;
    this.#options = options;
    const backoff = () => new Backoff(random, RETRY_MIN_MS, RETRY_MAX_MS);
    this.#writer = new RetryingWriter({ store, pace, backoff });
    this.#reader = new OrderReader(options);
    this.#drainCheck = new DrainCheck({ board, store });
  }

  /**
   * Carries out an order.
   *
   * @param orderId chosen by the client, so that it can read the order back or retry it
   * @returns the receipt once the order is accepted
   */
  async give(order: OperatorOrder, orderId = this.#createId()): Promise<GiveResult> {
    const handler = this.#options.handlers.get(order.action);
    const given = await (handler ? handler.give(order, orderId) : this.#give(order, orderId));
    const { action, target, by } = order;
    const result = given.ok ? 'accepted' : given.val.kind;
    this.#options.metrics.count('order.given', { action, result });
    const fields = { orderId, action, target, by, result };
    this.#options.log.write(LogLevel.Info, PART, 'Operator order processed.', fields);
    return given;
  }

  /** Reads the status of an order. */
  read(orderId: string): Promise<Result<OrderStatus, OrderError>> {
    return this.#reader.read(orderId);
  }

  #createId(): string {
    this.#lastOrder += 1;
    const { name, incarnation } = this.#options.board;
    return `${name}-${incarnation}-${this.#lastOrder}`;
  }

  async #give(order: OperatorOrder, id: string): Promise<GiveResult> {
    const plan = planOrder(order, this.#options.board.config);
    if (!plan.ok) return Err({ kind: OrderErrorKind.Invalid, detail: plan.val, orderId: id });
    const pending = { id, order, plan: plan.val, until: Deadline.after(ORDER_LIMIT_MS) };
    const current = await this.#call(this.#options.store.get(plan.val.key));
    if (!current.ok) return refuseRead(current.val, id);
    const recorded = await this.#writeRecord(pending, current.val?.version ?? VERSION_ABSENT);
    if (!recorded.ok) return recorded;
    return this.#carryOut(pending, recorded.val, current.val);
  }

  /** Writes the order's record, or returns the existing one if the same order was given before. */
  async #writeRecord(
    pending: PendingOrder,
    fromVersion: number,
  ): Promise<Result<StoredRecord, OrderError>> {
    const { id, order, plan, until } = pending;
    const record = createRecord(id, order, plan.key, fromVersion, this.#createId());
    const written = await this.#writer.write(
      {
        key: formatOrderKey(id),
        value: record,
        expectedVersion: VERSION_ABSENT,
        findOwnVersion: (current) =>
          parseOrderRecord(current?.value)?.nonce === record.nonce ? current?.version : undefined,
      },
      until,
    );
    const { version } = written;
    if (written.outcome === WriteOutcome.Written) return Ok({ record, version });
    if (written.outcome !== WriteOutcome.Conflict) return refuseWrite(written, id);
    const earlier = parseOrderRecord(written.current?.value);
    if (earlier && isSameOrder(earlier, order)) {
      return Ok({ record: earlier, version: written.current?.version ?? VERSION_ABSENT });
    }
    const detail = `order id ${id} was already used for a different order`;
    return Err({ kind: OrderErrorKind.Conflict, detail, orderId: id });
  }

  async #carryOut(
    pending: PendingOrder,
    recorded: StoredRecord,
    current: StoredObject | undefined,
  ): Promise<GiveResult> {
    const { id, order, plan, until } = pending;
    const { record } = recorded;
    const isRemoval = order.action === OrderAction.RemoveObject;
    const earlier = traceOrder(record, current, isRemoval);
    if (earlier.version > 0) return Ok({ orderId: id, version: earlier.version, forecast: [] });
    const version = current?.version ?? VERSION_ABSENT;
    if (version !== record.fromVersion) return refuseConflict(id, current);
    const next = plan.apply(current?.value as Readonly<Record<string, unknown>> | undefined);
    if (!next.ok) return Err({ kind: OrderErrorKind.Invalid, detail: next.val, orderId: id });
    const checked = await this.#drainCheck.check(order, id, version);
    if (!checked.ok) return checked;
    const value = next.val && addMark(next.val, record);
    const written = await this.#writer.write(
      {
        key: plan.key,
        value,
        expectedVersion: version,
        findOwnVersion: (object, revision) =>
          isRemoval && !object ? revision : traceOrder(record, object, false).version || undefined,
      },
      until,
    );
    return this.#finish(pending, recorded, value, written, checked.val);
  }

  async #finish(
    pending: PendingOrder,
    recorded: StoredRecord,
    value: object | undefined,
    written: WriteResult,
    forecast: readonly DomainForecast[],
  ): Promise<GiveResult> {
    const { id, plan } = pending;
    const { outcome, version, current } = written;
    if (outcome === WriteOutcome.Conflict) return refuseConflict(id, current);
    if (outcome !== WriteOutcome.Written) return refuseWrite(written, id);
    // The revision stays unchanged, as other writes up to it may not have been received yet.
    this.#options.feed.apply(ConfigSource.Order, [{ key: plan.key, version, value }], 0, false);
    await this.#recordVersion(pending, recorded, version);
    return Ok({ orderId: id, version, forecast });
  }

  /**
   * Adds the version to the order's record, which outlives the mark in the object. The order
   * remains accepted if this write fails.
   */
  async #recordVersion(
    pending: PendingOrder,
    recorded: StoredRecord,
    version: number,
  ): Promise<void> {
    const written = await this.#writer.write(
      {
        key: formatOrderKey(pending.id),
        value: { ...recorded.record, version },
        expectedVersion: recorded.version,
        findOwnVersion: (current) =>
          parseOrderRecord(current?.value)?.version === version ? current?.version : undefined,
      },
      pending.until,
    );
    if (written.outcome === WriteOutcome.Written) return;
    this.#options.metrics.count('order.version.unwritten', { outcome: written.outcome });
  }

  async #call<T>(call: Promise<Result<T, StoreError>>): Promise<Result<T, StoreError>> {
    const answer = await withCallTimeout(call, CALL_TIMEOUT_MS);
    this.#options.pace.recordResult(answer);
    return answer;
  }
}
