/** Parts of messages between entries about request limits of upstreams and permits for them. */
import { z } from 'zod';

const COUNT = z.number().int().nonnegative();

/** Request limit of an incarnation of an upstream, as an entry has seen it. */
export const LIMIT_NEWS = z.object({
  incarnation: z.string(),
  pool: z.string(),
  /** Requests per second from all entries together; missing where the limit has ended. */
  perS: z.number().nonnegative().optional(),
  /** Time since the answer arrived that says so. */
  ageMs: z.number().nonnegative(),
});

export type LimitNews = z.infer<typeof LIMIT_NEWS>;

/** Permits that an entry needs for limited upstreams of a pool, sent to the grantor of the pool. */
export const PERMIT_ASK = z.object({
  pool: z.string(),
  /** Distinguishes the asks of one process to one grantor from others. */
  session: z.number(),
  /** Requests that wait for a permit. */
  waiting: COUNT,
  /** Further requests that are expected soon. */
  expected: COUNT,
  /** Permits received in this session. */
  received: COUNT,
  /** By the clock of the asking entry; the grantor returns it. */
  askedAtMs: z.number(),
  /** Whether the entry has chosen another grantor. */
  isLast: z.boolean().optional(),
});

export type PermitAsk = z.infer<typeof PERMIT_ASK>;

/** Permits to send requests, granted to one entry. */
export const PERMIT_GRANT = z.object({
  pool: z.string(),
  session: z.number(),
  /** Time of the last ask, by the clock of the asking entry. */
  askedAtMs: z.number(),
  /** Number of permits by incarnation of an upstream. */
  permits: z.record(z.string(), COUNT),
  /** Requests that still wait for a permit, in all entries. */
  fleetWaiting: COUNT,
});

export type PermitGrant = z.infer<typeof PERMIT_GRANT>;
