/**
 * Rendezvous hashing (Thaler and Ravishankar, 1998): every process computes the same ranking of
 * the same members, and adding or removing a member does not change the order of the others.
 */
import { xxh32 } from '@node-rs/xxhash';

/** Multipliers of the finalizer of MurmurHash3, which mixes two hashes into a weight. */
const MIX_1 = 0x85ebca6b;
const MIX_2 = 0xc2b2ae35;

/** Member with its hash, which is computed once for many keys. */
export interface HashedMember {
  readonly name: string;
  readonly hash: number;
}

/* eslint-disable no-bitwise -- integer hash mixing */
function computeWeight(keyHash: number, memberHash: number): number {
  let mixed = keyHash ^ Math.imul(memberHash, MIX_2);
  mixed = Math.imul(mixed ^ (mixed >>> 16), MIX_1);
  mixed = Math.imul(mixed ^ (mixed >>> 13), MIX_2);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
/* eslint-enable no-bitwise */

/** Hashes members for {@link countRankedBefore} and {@link rankMembers}. */
export function hashMembers(names: readonly string[]): readonly HashedMember[] {
  return names.map((name) => ({ name, hash: xxh32(name) }));
}

function isRankedBefore(keyHash: number, one: HashedMember, other: HashedMember): boolean {
  const difference = computeWeight(keyHash, one.hash) - computeWeight(keyHash, other.hash);
  return difference > 0 || (difference === 0 && one.name < other.name);
}

/** Counts the members that rank before a given member for a key. */
export function countRankedBefore(
  key: HashedMember,
  self: HashedMember,
  members: readonly HashedMember[],
): number {
  return members.reduce((sum, member) => sum + Number(isRankedBefore(key.hash, member, self)), 0);
}

/**
 * Ranks members for a key.
 *
 * @returns names in descending order of weight
 */
export function rankMembers(key: string, members: readonly string[]): readonly string[] {
  const keyHash = xxh32(key);
  return [...hashMembers(members)]
    .sort((one, other) => (isRankedBefore(keyHash, one, other) ? -1 : 1))
    .map((member) => member.name);
}
