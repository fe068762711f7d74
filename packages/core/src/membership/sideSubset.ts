/**
 * Chooses the upstreams that an entry keeps links to.
 *
 * With few upstreams or few entries it is all of them. Beyond that each upstream of the entry's own
 * region is taken by a bounded number of that region's entries, ranked by rendezvous hashing, so
 * that every upstream keeps several entries. Besides, each entry takes one upstream at least of
 * each pool in each failure domain of its region, and in each other region; and all ranks of the
 * groups that it looks after.
 */
import { ConfigKind, type Upstream } from '../config/object.js';
import { listKeptUpstreams } from '../groups/keeperChoice.js';
import type { EntryBoard } from '../state/entryBoard.js';
import { countRankedBefore, hashMembers, rankMembers } from './rendezvous.js';

/** Upstreams up to which an entry keeps links to all. */
const ALL_LINKS_MAX = 64;

/** Entries that keep a link to each upstream of their region beyond that. */
const ENTRIES_PER_UPSTREAM = 3;

/** Upstreams of each pool that each entry takes at least in a failure domain or other region. */
const LINKS_PER_LOCATION = 1;

function readRegion(board: EntryBoard, domain: string): string | undefined {
  return board.config.get(ConfigKind.Domain, domain)?.region;
}

/** Upstreams that this entry, by rank, is one of the few to keep up. */
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

/** Upstreams of each pool in each place, chosen by this entry's own ranking. */
function chooseForLocations(board: EntryBoard, upstreams: readonly Upstream[]): readonly string[] {
  const byPlace = new Map<string, string[]>();
  upstreams.forEach(({ name, pool, domain }) => {
    const region = readRegion(board, domain);
    const place = region === board.region ? `${pool}/${domain}` : `${pool} in ${region ?? ''}`;
    const names = byPlace.get(place);
    if (names) names.push(name);
    else byPlace.set(place, [name]);
  });
  return [...byPlace.values()].flatMap((names) =>
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
  listKeptUpstreams(board).forEach((upstream) => names.add(upstream.name));
  return all.filter((upstream) => names.has(upstream.name));
}
