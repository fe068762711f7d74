/** Part of messages between entries about the requests that wait for the slots of a pool. */
import { z } from 'zod';

const COUNT = z.number().int().nonnegative();

/** Numbers by rank of urgency; ranks that are missing have 0. */
const BY_RANK = z.record(z.string().regex(/^\d{1,2}$/u), COUNT);

/** What waits and arrives in one pool at one entry. */
export const POOL_DEMAND = z.object({
  /** Requests that wait for a slot and can use one now. */
  waiting: BY_RANK,
  /** First attempts per minute, as they have arrived lately. */
  arrivingPerMin: BY_RANK,
  /** Requests in flight that have had no output yet. */
  prefilling: COUNT,
});

export type PoolDemandNews = z.infer<typeof POOL_DEMAND>;

/** Demand by pool; the demand for a pool that is missing is unknown. */
export const DEMANDS = z.record(z.string(), POOL_DEMAND);
