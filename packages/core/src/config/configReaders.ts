/**
 * Chooses the configuration readers: the entries that prove their configuration by calls to the
 * platform.
 *
 * A proof counts from the start of a call, so a reader calls the platform several times per lease.
 * With many entries only a bounded number are readers. All entries choose the same ones, and the
 * other entries receive their proofs over the links among entries.
 */
import { rankMembers } from '../membership/rendezvous.js';

/** Maximum number of configuration readers. */
export const READERS_MAX = 64;

const READERS_KEY = 'config-readers';

/** Share of the configuration lease for which a watch waits if every entry is a reader. */
const WATCH_LEASE_SHARE = 1 / 3;

/** The same if other entries depend on readers: their proofs are older by a heartbeat. */
const READER_WATCH_LEASE_SHARE = 1 / 6;

/** Chooses the readers among all entries. */
export function chooseReaders(names: readonly string[]): readonly string[] {
  if (names.length <= READERS_MAX) return names;
  return rankMembers(READERS_KEY, names).slice(0, READERS_MAX);
}

/**
 * Chooses the share of the configuration lease for which an entry's watches wait.
 *
 * @returns undefined if the entry is not a reader and may use the longest watch timeout
 */
export function chooseWatchShare(self: string, names: readonly string[]): number | undefined {
  if (names.length <= READERS_MAX) return WATCH_LEASE_SHARE;
  return chooseReaders(names).includes(self) ? READER_WATCH_LEASE_SHARE : undefined;
}
