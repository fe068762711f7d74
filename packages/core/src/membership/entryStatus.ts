/**
 * Status that each entry writes to the platform, from which the progress of orders is read back.
 *
 * A status can only be out of date towards the safe side: revisions only grow, so an old status
 * shows a lower revision than the one in force.
 */
import { z } from 'zod';

import type { Timing } from '../model/timing.js';
import { SideLinkState, type EntryBoard, type UpstreamState } from '../state/entryBoard.js';

export const ENTRY_STATUS_PREFIX = 'status/entry/';

/** Side processes listed by name in one status; the others are only counted. */
const SIDES_LISTED_MAX = 8;

const REVISION = z.number().int().nonnegative();

const ENTRY_STATUS = z.object({
  incarnation: z.string(),
  /** Configuration revision in force at the entry. */
  appliedRevision: REVISION,
  /** Lowest configuration revision of the side processes that may run work of the entry. */
  sidesRevision: REVISION,
  /** Some of the side processes with a lower revision than the entry. */
  sidesBehind: z.array(z.object({ name: z.string(), why: z.string() })),
  sideCount: z.number().int().nonnegative(),
  isStopping: z.boolean(),
});

export type EntryStatus = z.infer<typeof ENTRY_STATUS>;

/** @returns undefined if the value is not a valid status */
export function parseEntryStatus(value: unknown): EntryStatus | undefined {
  return ENTRY_STATUS.safeParse(value).data;
}

/**
 * Whether the side process could still accept work that this entry has sent: the link is open, or
 * was open so recently that a submission in transit would not be refused as stale.
 */
function isReachable(upstream: UpstreamState, timing: Timing, nowMs: number): boolean {
  if (upstream.linkState === SideLinkState.Open) return true;
  if (upstream.sideIncarnation === '') return false;
  return nowMs - upstream.lastReceivedAtMs <= timing.silenceLimitMs + timing.tickLimitMs;
}

/** Creates the current status of an entry. */
export function createEntryStatus(board: EntryBoard, timing: Timing, nowMs: number): EntryStatus {
  const sides = [...board.upstreams.values()].filter((one) => isReachable(one, timing, nowMs));
  const { revision } = board.config;
  const behind = sides.filter((side) => side.configRevision < revision);
  return {
    incarnation: board.incarnation,
    appliedRevision: revision,
    sidesRevision: Math.min(revision, ...behind.map((side) => side.configRevision)),
    sidesBehind: behind.slice(0, SIDES_LISTED_MAX).map((side) => ({
      name: side.name,
      why: `at revision ${side.configRevision}, link ${side.linkState.toLowerCase()}`,
    })),
    sideCount: sides.length,
    isStopping: board.isStopping,
  };
}
