/**
 * The stored record of an order: operator, action, target, and the version it was given against.
 *
 * It is written before the order's object, so that the order can be read back by its id even if the
 * entry that received it fails. The order's mark in the object proves that it took effect.
 */
import { xxh32 } from '@node-rs/xxhash';
import { z } from 'zod';

import { ORDER_MARKS_KEPT, type OrderMark } from '../config/object.js';
import { OrderAction, type OperatorOrder } from '../model/order.js';

const ORDER_PREFIX = 'orders/';

/** Records are divided by the hash of their ids, so that old ones can be listed in batches. */
const BUCKET_COUNT = 256;

function formatBucket(bucket: number): string {
  return `${ORDER_PREFIX}${bucket.toString(16).padStart(2, '0')}/`;
}

/** Formats the key of an order's record. */
export function formatOrderKey(id: string): string {
  return `${formatBucket(xxh32(id) % BUCKET_COUNT)}${id}`;
}

/** Lists the key prefixes of all buckets of records. */
export function listOrderBuckets(): readonly string[] {
  return Array.from({ length: BUCKET_COUNT }, (_, bucket) => formatBucket(bucket));
}

const ORDER_RECORD = z.object({
  id: z.string(),
  by: z.string(),
  action: z.enum(OrderAction),
  target: z.string(),
  /** Key of the object that the order changes. */
  key: z.string(),
  /** Version of the object that the order was given against. */
  fromVersion: z.number().int().nonnegative(),
  /** Version of the object with the order in it; missing until it is known. */
  version: z.number().int().positive().optional(),
  atMs: z.number(),
  /** Distinguishes records that different entries wrote for the same id. */
  nonce: z.string(),
});

export type OrderRecord = z.infer<typeof ORDER_RECORD>;

/**
 * Parses an order's record read from the store.
 *
 * @returns undefined if the value is not a valid record
 */
export function parseOrderRecord(value: unknown): OrderRecord | undefined {
  return ORDER_RECORD.safeParse(value).data;
}

/** Creates the record of an order that is about to be carried out. */
export function createRecord(
  id: string,
  order: OperatorOrder,
  key: string,
  fromVersion: number,
  nonce: string,
): OrderRecord {
  const { by, action, target } = order;
  return { id, by, action, target, key, fromVersion, atMs: Date.now(), nonce };
}

/** Whether a record has the same operator, action and target as an order that is repeated. */
export function isSameOrder(record: OrderRecord, order: OperatorOrder): boolean {
  const { by, action, target } = order;
  return record.by === by && record.action === action && record.target === target;
}

/** Reads the marks of the latest orders that an object keeps, oldest first. */
export function readMarks(value: unknown): readonly OrderMark[] {
  if (typeof value !== 'object' || value === null || !('orders' in value)) return [];
  return Array.isArray(value.orders) ? (value.orders as OrderMark[]) : [];
}

/** Adds the mark of an order to an object's value, dropping the oldest beyond the limit. */
export function addMark(value: object, record: OrderRecord): object {
  const { id, by, action, atMs, fromVersion } = record;
  const marks = [...readMarks(value), { id, by, action, atMs, fromVersion }];
  return { ...value, orders: marks.slice(-ORDER_MARKS_KEPT) };
}
