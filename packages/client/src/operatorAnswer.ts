/** Schemas of the answers of an entry's operator interface; unknown fields are kept. */
import { OrderState, type OrderReceipt, type OrderStatus } from '@radishbay/core/model/order.js';
import type { QueryRow } from '@radishbay/core/model/query.js';
import { z } from 'zod';

const CELL = z.union([z.string(), z.number(), z.boolean()]);

/** Answer to a query. */
export const QUERY_RESULT: z.ZodType<{ readonly rows: readonly QueryRow[] }> = z.looseObject({
  rows: z.array(z.record(z.string(), CELL)),
});

/** Answer to an order that was accepted. */
export const ORDER_RECEIPT: z.ZodType<OrderReceipt> = z.looseObject({
  orderId: z.string(),
  version: z.number(),
  forecast: z.array(
    z.looseObject({
      domain: z.string(),
      pool: z.string(),
      loadBefore: z.number(),
      loadAfter: z.number(),
      limit: z.number(),
    }),
  ),
});

/** Answer to a read of an order. */
export const ORDER_STATUS: z.ZodType<OrderStatus> = z.looseObject({
  orderId: z.string(),
  state: z.enum(OrderState),
  action: z.string(),
  target: z.string(),
  by: z.string(),
  version: z.number(),
  fromVersion: z.number(),
  inForceOn: z.number(),
  of: z.number(),
  missing: z.array(z.looseObject({ process: z.string(), why: z.string() })),
});
