/** Part of messages between entries about the use of pools by workspaces. */
import { z } from 'zod';

/** Largest number of workspaces of one pool in a message. */
export const WORKSPACES_MAX = 32;

const COUNT = z.number().int().nonnegative().max(1_000_000);

const POOL_USAGE = z.object({
  /** Name, held and wanted quarters of a usual request, of the largest workspaces. */
  workspaces: z.array(z.tuple([z.string(), COUNT, COUNT])).max(WORKSPACES_MAX),
  /** Held and wanted quarters of all other workspaces together. */
  others: z.tuple([COUNT, COUNT]),
});

export type PoolUsageNews = z.infer<typeof POOL_USAGE>;

/** Use of pools that are short of capacity. Each part replaces what was sent of it before. */
export const WORKSPACE_USAGE = z.object({
  /** Distinguishes the run of the sending process from others. */
  session: z.number().int().nonnegative(),
  /** Rises with each message of a session. */
  sequence: z.number().int().nonnegative(),
  /**
   * Requests by pool and priority that can be on time, of workspaces below their share, that wait
   * or were refused lately.
   */
  pending: z.record(z.string(), z.record(z.string().regex(/^\d{1,3}$/u), COUNT)),
  /** By pool; missing where it has not changed much. */
  pools: z.record(z.string(), POOL_USAGE).optional(),
});

export type WorkspaceUsageNews = z.infer<typeof WORKSPACE_USAGE>;
