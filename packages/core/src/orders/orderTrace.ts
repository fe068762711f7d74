/** Determines the outcome of an order from its record and its object. */
import type { StoredObject } from '../ports/objectStore.js';
import { ORDER_MARKS_KEPT } from '../config/object.js';
import { readMarks, type OrderRecord } from './orderRecord.js';

export enum OrderTrace {
  /** It took effect, and the object is unchanged since. */
  Current = 'standing',
  /** It took effect, and a later write changed the object. */
  Superseded = 'superseded',
  /** It did not take effect and can no longer take effect. */
  NeverApplied = 'dead',
  /** It has not taken effect so far, or the object no longer keeps its mark. */
  Undetermined = 'open',
}

export interface TraceResult {
  readonly trace: OrderTrace;
  /** Version of the object that the order wrote; 0 if it did not take effect. */
  readonly version: number;
}

function traceRemoval(record: OrderRecord, object: StoredObject | undefined): TraceResult {
  if (record.version === undefined) {
    const isLater = object !== undefined && object.version > record.fromVersion;
    return { trace: isLater ? OrderTrace.NeverApplied : OrderTrace.Undetermined, version: 0 };
  }
  const trace = object ? OrderTrace.Superseded : OrderTrace.Current;
  return { trace, version: record.version };
}

/**
 * Determines the outcome of an order.
 *
 * @param object the object that is stored under the order's key now
 * @param isRemoval whether the order removes the object
 */
export function traceOrder(
  record: OrderRecord,
  object: StoredObject | undefined,
  isRemoval: boolean,
): TraceResult {
  if (isRemoval) return traceRemoval(record, object);
  const marks = readMarks(object?.value);
  const index = marks.findIndex((mark) => mark.id === record.id);
  const next = marks[index + 1];
  if (index >= 0 && object) {
    if (!next) return { trace: OrderTrace.Current, version: record.version ?? object.version };
    return { trace: OrderTrace.Superseded, version: record.version ?? next.fromVersion };
  }
  if (record.version !== undefined) {
    return { trace: OrderTrace.Superseded, version: record.version };
  }
  const isChanged = (object?.version ?? 0) > record.fromVersion;
  const [oldest] = marks;
  const isPruned =
    marks.length >= ORDER_MARKS_KEPT && (oldest?.fromVersion ?? 0) > record.fromVersion;
  return {
    trace: isChanged && !isPruned ? OrderTrace.NeverApplied : OrderTrace.Undetermined,
    version: 0,
  };
}
