/** Chooses the few entries that look after a group, the same at every entry. */
import { ConfigKind, type Upstream } from '../config/object.js';
import { rankMembers } from '../membership/rendezvous.js';
import type { EntryBoard } from '../state/entryBoard.js';

/** Entries that look after a group: one coordinates, the others can take over. */
const SUPERVISORS_PER_GROUP = 3;

/** Whether an entry is one of the few that look after a group. */
export function isGroupSupervisor(board: EntryBoard, group: string): boolean {
  const entries = [board.name, ...board.peers.keys()];
  return rankMembers(`group/${group}`, entries)
    .slice(0, SUPERVISORS_PER_GROUP)
    .includes(board.name);
}

/** Upstreams of the groups that an entry looks after: it needs a link to each. */
export function listKeptUpstreams(board: EntryBoard): readonly Upstream[] {
  const groups = board.config.list(ConfigKind.Group).map(({ name }) => name);
  const supervised = new Set(groups.filter((group) => isGroupSupervisor(board, group)));
  return board.config
    .list(ConfigKind.Upstream)
    .filter(({ group }) => group !== undefined && supervised.has(group));
}
