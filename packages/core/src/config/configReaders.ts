/**
 * Which entries prove their configuration by the platform themselves.
 *
 * A proof reaches back to the start of a call, so whoever proves by the platform calls it several
 * times within a lease. With many entries a bounded number does that, chosen alike by all, and the
 * others have it from them over the links among entries.
 */
import { rankMembers } from '../membership/rendezvous.js';

/** Entries that prove by the platform themselves. */
export const READERS_MAX = 64;

const READERS_KEY = 'config-readers';

/** Share of the configuration lease for which a watch waits where every entry is a reader. */
const WATCH_LEASE_SHARE = 1 / 3;

/** The same where others depend on the reader: their proofs are older by a heartbeat. */
const READER_WATCH_LEASE_SHARE = 1 / 6;

/** Chooses the readers among all entries. */
export function chooseReaders(names: readonly string[]): readonly string[] {
  if (names.length <= READERS_MAX) return names;
  return rankMembers(READERS_KEY, names).slice(0, READERS_MAX);
}

/**
 * Share of the lease for which an entry's watches wait.
 *
 * @returns undefined where the entry is no reader and may wait for as long as a watch can
 */
export function chooseWatchShare(self: string, names: readonly string[]): number | undefined {
  if (names.length <= READERS_MAX) return WATCH_LEASE_SHARE;
  return chooseReaders(names).includes(self) ? READER_WATCH_LEASE_SHARE : undefined;
}
