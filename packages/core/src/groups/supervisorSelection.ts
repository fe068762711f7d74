/**
 * Selects the entries that supervise a group by rendezvous hashing, so that entries with the same
 * membership select the same ones.
 */
import { ConfigKind, type Upstream } from '../config/object.js';
import { rankMembers } from '../membership/rendezvous.js';
import type { EntryBoard } from '../state/entryBoard.js';

/** Entries that supervise a group: one coordinates, the others can take over. */
const SUPERVISORS_PER_GROUP = 3;

/** Whether this entry is one of those that supervise a group. */
export function isGroupSupervisor(board: EntryBoard, group: string): boolean {
  const entries = [board.name, ...board.peers.keys()];
  return rankMembers(`group/${group}`, entries)
    .slice(0, SUPERVISORS_PER_GROUP)
    .includes(board.name);
}

/** Upstreams of the groups that this entry supervises; it needs a link to each. */
export function listSupervisedUpstreams(board: EntryBoard): readonly Upstream[] {
  const groups = board.config.list(ConfigKind.Group).map(({ name }) => name);
  const supervised = new Set(groups.filter((group) => isGroupSupervisor(board, group)));
  return board.config
    .list(ConfigKind.Upstream)
    .filter(({ group }) => group !== undefined && supervised.has(group));
}
