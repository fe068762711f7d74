/** Schemas for the load report and the cache events of an engine. */
import { z } from 'zod';

const COUNT = z.number().int().nonnegative();

/** Response body of `GET /load`. */
export const ENGINE_REPORT = z.object({
  engineIncarnation: z.string(),
  running: COUNT,
  queued: COUNT,
  kvUsedShare: z.number().min(0),
  isWarm: z.boolean(),
  tokensPerSecond: z.number().nonnegative(),
  models: z.array(z.string()),
});

/** Response body of `GET /cache-events`. */
export const CACHE_EVENTS = z.object({
  events: z.array(
    z.object({ sequence: COUNT, isStored: z.boolean(), blockHashes: z.array(z.string()) }),
  ),
});
