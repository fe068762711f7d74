/**
 * The record of an order in the platform: who ordered what, and from which version.
 *
 * It is written before the order's object, so that an order can be read back by its id whatever
 * becomes of the entry that took it. The proof that it took effect is its mark in the object.
 */
import { xxh32 } from '@node-rs/xxhash';
import { z } from 'zod';

import { ORDER_MARKS_KEPT, type OrderMark } from '../config/object.js';
import { OrderAction, type OperatorOrder } from '../model/order.js';

const ORDER_PREFIX = 'orders/';

/** Parts of the records by the hash of the id, so that old ones can be listed bit by bit. */
const BUCKET_COUNT = 256;

function formatBucket(bucket: number): string {
  return `${ORDER_PREFIX}${bucket.toString(16).padStart(2, '0')}/`;
}

/** Key of an order's record. */
export function formatOrderKey(id: string): string {
  return `${formatBucket(xxh32(id) % BUCKET_COUNT)}${id}`;
}

/** Prefixes of all buckets of records. */
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
  /** Tells records apart that were written for one id by several entries. */
  nonce: z.string(),
});

export type OrderRecord = z.infer<typeof ORDER_RECORD>;

/** @returns undefined where the value is no record of an order */
export function parseOrderRecord(value: unknown): OrderRecord | undefined {
  return ORDER_RECORD.safeParse(value).data;
}

/** Makes the record of an order that is about to be carried out. */
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

/** Whether a record is that of the same order, given once more. */
export function isSameOrder(record: OrderRecord, order: OperatorOrder): boolean {
  const { by, action, target } = order;
  return record.by === by && record.action === action && record.target === target;
}

/** Reads the marks of the orders that an object remembers, oldest first. */
export function readMarks(value: unknown): readonly OrderMark[] {
  if (typeof value !== 'object' || value === null || !('orders' in value)) return [];
  return Array.isArray(value.orders) ? (value.orders as OrderMark[]) : [];
}

/** Adds the mark of an order to an object's value. */
export function addMark(value: object, record: OrderRecord): object {
  const { id, by, action, atMs, fromVersion } = record;
  const marks = [...readMarks(value), { id, by, action, atMs, fromVersion }];
  return { ...value, orders: marks.slice(-ORDER_MARKS_KEPT) };
}
