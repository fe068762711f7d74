/**
 * Hashes of a prompt's leading blocks, as engines publish them in their cache events.
 *
 * Each hash covers the prompt from its start to the end of its block, so that equal hashes mean
 * equal prefixes. Engines and entries have to agree on the block size and the hash (XXH64).
 */
import { xxh64 } from '@node-rs/xxhash';

/** Characters of prompt in one block. */
export const PREFIX_BLOCK_CHARS = 256;

/** Blocks hashed at most: longer prompts are told apart by their beginning. */
export const PREFIX_BLOCKS_MAX = 32;

const HEX_RADIX = 16;

/**
 * Hashes the whole leading blocks of a prompt.
 *
 * @returns one hash for each whole block, shortest prefix first
 */
export function hashPrefixes(prompt: string): readonly string[] {
  const count = Math.min(PREFIX_BLOCKS_MAX, Math.floor(prompt.length / PREFIX_BLOCK_CHARS));
  let previous = 0n;
  return Array.from({ length: count }, (_, index) => {
    const start = index * PREFIX_BLOCK_CHARS;
    previous = xxh64(prompt.slice(start, start + PREFIX_BLOCK_CHARS), previous);
    return previous.toString(HEX_RADIX);
  });
}
