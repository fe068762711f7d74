/** Part of the message with counts that tells the work left at upstreams. */
import { z } from 'zod';

const COUNT = z.number().int().nonnegative();

/**
 * Work of an entry's requests at one upstream: milliseconds of prefill that have not begun to give
 * output, milliseconds of decoding that are left, and the microseconds that the requests add to a
 * step.
 */
export const WORK_NEWS: z.ZodType<readonly [number, number, number]> = z.tuple([
  COUNT,
  COUNT,
  COUNT,
]);

export type WorkNews = z.infer<typeof WORK_NEWS>;
