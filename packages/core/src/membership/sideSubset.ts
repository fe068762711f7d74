/**
 * Chooses the upstreams that an entry keeps links to.
 *
 * With few upstreams or few entries, these are all upstreams. Otherwise each upstream is assigned
 * to a bounded number of the entries in its region, ranked by rendezvous hashing, so that several
 * entries link to every upstream. In addition, each entry links to at least one upstream of each
 * pool in each failure domain of its region and in each other region, and to all ranks of the
 * groups that it controls.
 */
import { ConfigKind, type Upstream } from '../config/object.js';
import { listSupervisedUpstreams } from '../groups/supervisorSelection.js';
import type { EntryBoard } from '../state/entryBoard.js';
import { countRankedBefore, hashMembers, rankMembers } from './rendezvous.js';

/** Number of upstreams up to which an entry keeps links to all. */
const ALL_LINKS_MAX = 64;

/** Number of entries assigned to each upstream of their region when there are more than that. */
const ENTRIES_PER_UPSTREAM = 3;

/** Upstreams of each pool that an entry links to at least, per failure domain or other region. */
const LINKS_PER_LOCATION = 1;

function readRegion(board: EntryBoard, domain: string): string | undefined {
  return board.config.get(ConfigKind.Domain, domain)?.region;
}

/** Chooses the upstreams for which this entry ranks among the first. */
function chooseAssigned(board: EntryBoard, upstreams: readonly Upstream[]): readonly Upstream[] {
  const peers = [...board.peers.values()].filter(
    (peer) => peer.region === undefined || peer.region === board.region,
  );
  const entries = hashMembers([board.name, ...peers.map((peer) => peer.name)]);
  const [self] = entries;
  if (!self) return [];
  const keys = hashMembers(upstreams.map((upstream) => upstream.name));
  return upstreams.filter((_, index) => {
    const key = keys[index];
    return key && countRankedBefore(key, self, entries) < ENTRIES_PER_UPSTREAM;
  });
}

/** Chooses upstreams of each pool in each failure domain or other region, by name. */
function chooseForLocations(board: EntryBoard, upstreams: readonly Upstream[]): readonly string[] {
  const namesByLocation = new Map<string, string[]>();
  upstreams.forEach(({ name, pool, domain }) => {
    const region = readRegion(board, domain);
    const location = region === board.region ? `${pool}/${domain}` : `${pool} in ${region ?? ''}`;
    const names = namesByLocation.get(location);
    if (names) names.push(name);
    else namesByLocation.set(location, [name]);
  });
  return [...namesByLocation.values()].flatMap((names) =>
    rankMembers(board.name, names).slice(0, LINKS_PER_LOCATION),
  );
}

/** Chooses the upstreams that an entry keeps links to. */
export function chooseSubset(board: EntryBoard): readonly Upstream[] {
  const all = board.config.list(ConfigKind.Upstream);
  if (all.length <= ALL_LINKS_MAX || board.peers.size < ENTRIES_PER_UPSTREAM) return all;
  const local = all.filter((upstream) => readRegion(board, upstream.domain) === board.region);
  const names = new Set(chooseForLocations(board, all));
  chooseAssigned(board, local).forEach((upstream) => names.add(upstream.name));
  listSupervisedUpstreams(board).forEach((upstream) => names.add(upstream.name));
  return all.filter((upstream) => names.has(upstream.name));
}
