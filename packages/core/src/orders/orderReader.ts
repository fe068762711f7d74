/** Reads the status of an order: accepted, in force, superseded or not found. */
import { withCallTimeout } from '../config/callTimeout.js';
import type { PlatformPace } from '../config/platformPace.js';
import { ENTRY_STATUS_PREFIX, parseEntryStatus } from '../membership/entryStatus.js';
import { ENTRY_REGISTRY_PREFIX, parseRegistration } from '../membership/registry.js';
import {
  OrderAction,
  OrderErrorKind,
  OrderState,
  type OrderError,
  type OrderStatus,
} from '../model/order.js';
import type { Timing } from '../model/timing.js';
import { Err, Ok, type Result } from '../outcome.js';
import type { ObjectStore, StoredObject, StoreError } from '../ports/objectStore.js';
import type { EntryBoard } from '../state/entryBoard.js';
import { InForceCheck, type FleetView } from './inForceCheck.js';
import { formatOrderKey, parseOrderRecord, type OrderRecord } from './orderRecord.js';
import { OrderTrace, traceOrder } from './orderTrace.js';

/** Time after which the outcome of a call counts as unknown. */
const CALL_TIMEOUT_MS = 4_000;

export interface OrderReaderOptions {
  readonly board: EntryBoard;
  readonly store: ObjectStore;
  readonly pace: PlatformPace;
  readonly timing: Timing;
}

type ReadResult = Result<OrderStatus, OrderError>;

function refuseRead(error: StoreError, orderId: string): ReadResult {
  const detail = `${error.kind}: ${error.detail}`;
  return Err({ kind: OrderErrorKind.PlatformUnavailable, detail, orderId });
}

/** Parses the values under a key prefix, by the rest of the key; invalid values are skipped. */
function parseAll<T>(
  objects: readonly StoredObject[],
  prefix: string,
  parse: (value: unknown) => T | undefined,
): ReadonlyMap<string, T> {
  const parsed = new Map<string, T>();
  objects.forEach(({ key, value }) => {
    const one = parse(value);
    if (one !== undefined) parsed.set(key.slice(prefix.length), one);
  });
  return parsed;
}

/** Reads the status of orders from the store. */
export class OrderReader {
  readonly #options: OrderReaderOptions;

  readonly #inForceCheck: InForceCheck;

  constructor(options: OrderReaderOptions) {
    this.#options = options;
    this.#inForceCheck = new InForceCheck(options);
  }

  /** Reads the status of an order from its record, its object and the state of all entries. */
  async read(orderId: string): Promise<ReadResult> {
    const { store } = this.#options;
    const stored = await this.#call(store.get(formatOrderKey(orderId)));
    if (!stored.ok) return refuseRead(stored.val, orderId);
    const record = parseOrderRecord(stored.val?.value);
    if (!record) return Err({ kind: OrderErrorKind.NotFound, detail: 'no such order', orderId });
    const object = await this.#call(store.get(record.key));
    if (!object.ok) return refuseRead(object.val, orderId);
    const fleet = await this.#readFleet();
    if (!fleet.ok) return refuseRead(fleet.val, orderId);
    return this.#describe(record, object.val, fleet.val);
  }

  #describe(record: OrderRecord, object: StoredObject | undefined, fleet: FleetView): ReadResult {
    const { id, action, target, by, fromVersion } = record;
    const { trace, version } = traceOrder(record, object, action === OrderAction.RemoveObject);
    const base = { orderId: id, action, target, by, version, fromVersion };
    if (trace === OrderTrace.Undetermined) {
      const detail = 'the order has not taken effect so far; retry it with the same id';
      return Err({ kind: OrderErrorKind.Unknown, detail, orderId: id });
    }
    if (trace === OrderTrace.NeverApplied) {
      return Ok({ ...base, state: OrderState.NotFound, inForceOn: 0, of: 0, missing: [] });
    }
    const { isInForce, ...progress } = this.#inForceCheck.check(version, fleet);
    const standing = isInForce ? OrderState.InForce : OrderState.Accepted;
    const state = trace === OrderTrace.Superseded ? OrderState.Superseded : standing;
    return Ok({ ...base, ...progress, state });
  }

  async #readFleet(): Promise<Result<FleetView, StoreError>> {
    const { store } = this.#options;
    const [registered, written] = await Promise.all([
      this.#call(store.list(ENTRY_REGISTRY_PREFIX)),
      this.#call(store.list(ENTRY_STATUS_PREFIX)),
    ]);
    if (!registered.ok) return registered;
    if (!written.ok) return written;
    const registrations = parseAll(
      registered.val.objects,
      ENTRY_REGISTRY_PREFIX,
      parseRegistration,
    );
    const statuses = parseAll(written.val.objects, ENTRY_STATUS_PREFIX, parseEntryStatus);
    return Ok({ registrations, statuses });
  }

  async #call<T>(call: Promise<Result<T, StoreError>>): Promise<Result<T, StoreError>> {
    const answer = await withCallTimeout(call, CALL_TIMEOUT_MS);
    this.#options.pace.recordResult(answer);
    return answer;
  }
}
