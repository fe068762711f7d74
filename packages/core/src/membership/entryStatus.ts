/**
 * What each entry tells of itself in the platform, for reading orders back.
 *
 * A status is only ever too old, never too new: revisions rise, so an old one says too little.
 */
import { z } from 'zod';

import type { Timing } from '../model/timing.js';
import { SideLinkState, type EntryBoard, type UpstreamState } from '../state/entryBoard.js';

export const ENTRY_STATUS_PREFIX = 'status/entry/';

/** Side processes named in one status; the rest is counted only. */
const SIDES_LISTED_MAX = 8;

const REVISION = z.number().int().nonnegative();

const ENTRY_STATUS = z.object({
  incarnation: z.string(),
  /** Revision that the entry has in force. */
  appliedRevision: REVISION,
  /** Lowest revision of the side processes that the entry could send work to. */
  sidesRevision: REVISION,
  /** Some of the side processes that are behind the entry. */
  sidesBehind: z.array(z.object({ name: z.string(), why: z.string() })),
  sideCount: z.number().int().nonnegative(),
  isStopping: z.boolean(),
});

export type EntryStatus = z.infer<typeof ENTRY_STATUS>;

/** @returns undefined where the value is not a status */
export function parseEntryStatus(value: unknown): EntryStatus | undefined {
  return ENTRY_STATUS.safeParse(value).data;
}

/**
 * Whether work that this entry has sent could still be let in: the link is open, or was until a
 * submission on its way would be refused as stale.
 */
function isReachable(upstream: UpstreamState, timing: Timing, nowMs: number): boolean {
  if (upstream.linkState === SideLinkState.Open) return true;
  if (upstream.sideIncarnation === '') return false;
  return nowMs - upstream.lastHeardAtMs <= timing.silenceLimitMs + timing.tickLimitMs;
}

/** Describes an entry as it is now. */
export function describeEntry(board: EntryBoard, timing: Timing, nowMs: number): EntryStatus {
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
