/** Chooses the few entries that look after a group, the same at every entry. */
import { ConfigKind, type Upstream } from '../config/object.js';
import { rankMembers } from '../membership/rendezvous.js';
import type { EntryBoard } from '../state/entryBoard.js';

/** Entries that look after a group: one coordinates, the others can take over. */
const KEEPERS = 3;

/** Whether an entry is one of the few that look after a group. */
export function isGroupKeeper(board: EntryBoard, group: string): boolean {
  const entries = [board.name, ...board.peers.keys()];
  return rankMembers(`group/${group}`, entries).slice(0, KEEPERS).includes(board.name);
}

/** Upstreams of the groups that an entry looks after: it needs a link to each. */
export function listKeptUpstreams(board: EntryBoard): readonly Upstream[] {
  const groups = board.config.list(ConfigKind.Group).map(({ name }) => name);
  const kept = new Set(groups.filter((group) => isGroupKeeper(board, group)));
  return board.config
    .list(ConfigKind.Upstream)
    .filter(({ group }) => group !== undefined && kept.has(group));
}
