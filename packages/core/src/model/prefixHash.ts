/**
 * Hashes of a prompt's leading blocks, as engines publish them in their cache events.
 *
 * Each hash covers the prompt from its start to the end of the block, so equal hashes mean equal
 * prefixes. Engines and entries must use the same block size and hash function (XXH64).
 */
import { xxh64 } from '@node-rs/xxhash';

/** Prompt characters per block. */
export const PREFIX_BLOCK_CHARS = 256;

/** Largest number of blocks hashed; longer prompts are distinguished only by their beginning. */
export const PREFIX_BLOCKS_MAX = 32;

const HEX_RADIX = 16;

/**
 * Hashes the complete leading blocks of a prompt.
 *
 * @returns one hash per complete block, shortest prefix first
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
