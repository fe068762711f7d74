/**
 * Index of cached prompt prefixes: which upstreams hold which block, in bounded memory.
 *
 * Each block has a row of bits, one per holder. All rows are in one array, and the least recently
 * used row is reused first, so that memory use depends only on the capacity.
 */

/** Number of holders in the bit set of a row. */
export const HOLDERS_MAX = 256;

const WORD_BITS = 32;

const ROW_WORDS = HOLDERS_MAX / WORD_BITS;

/* eslint-disable no-bitwise -- rows are sets of bits */
function createMask(holder: number): number {
  return 1 << (holder % WORD_BITS);
}

function isEmptyRow(row: Uint32Array): boolean {
  return row.every((word) => word === 0);
}

/** Writes a depth for each holder whose bit is set in `bits`. */
function writeDepths(depths: Uint16Array, word: number, bits: number, depth: number): void {
  let rest = bits;
  while (rest !== 0) {
    const bit = WORD_BITS - 1 - Math.clz32(rest);
    const holder = word * WORD_BITS + bit;
    depths.fill(depth, holder, holder + 1);
    rest &= ~(1 << bit);
  }
}

/** LRU index of blocks and their holders; holders are numbers below {@link HOLDERS_MAX}. */
export class PrefixIndex {
  readonly #rows: Uint32Array;

  /** Rows by block hash, the least recently used first. */
  readonly #rowsByHash = new Map<string, number>();

  readonly #freeRows: number[] = [];

  readonly #capacityBlocks: number;

  /** Holders of all blocks visited so far, while depths are measured. */
  readonly #commonHolders = new Uint32Array(ROW_WORDS);

  constructor(capacityBlocks: number) {
    this.#capacityBlocks = capacityBlocks;
    this.#rows = new Uint32Array(capacityBlocks * ROW_WORDS);
  }

  /** Number of blocks in the index. */
  get size(): number {
    return this.#rowsByHash.size;
  }

  /** Records that a holder has a block. */
  add(hash: string, holder: number): void {
    const row = this.#touchRow(hash);
    const word = row * ROW_WORDS + Math.floor(holder / WORD_BITS);
    this.#rows[word] = (this.#rows[word] ?? 0) | createMask(holder);
  }

  /** Records that a holder no longer has a block. */
  remove(hash: string, holder: number): void {
    const row = this.#rowsByHash.get(hash);
    if (row !== undefined) this.#clearBit(hash, row, holder);
  }

  /** Removes a holder from all blocks. */
  removeHolder(holder: number): void {
    this.#rowsByHash.forEach((row, hash) => this.#clearBit(hash, row, holder));
  }

  /**
   * Measures how many leading blocks each holder has.
   *
   * @param depths receives the number of leading blocks of each holder
   * @returns whether any holder has the first block
   */
  measureDepths(hashes: readonly string[], depths: Uint16Array): boolean {
    const common = this.#commonHolders;
    depths.fill(0);
    common.fill(0xffffffff);
    const depth = hashes.findIndex((hash, index) => !this.#intersectHolders(hash, index, depths));
    if (depth < 0) {
      common.forEach((bits, word) => writeDepths(depths, word, bits, hashes.length));
    }
    return depth !== 0;
  }

  /**
   * Narrows the common holders to those of one more block, and writes the depth of the others.
   *
   * @returns whether any common holder is left
   */
  #intersectHolders(hash: string, depth: number, depths: Uint16Array): boolean {
    const row = this.#rowsByHash.get(hash);
    let remaining = 0;
    for (let word = 0; word < ROW_WORDS; word += 1) {
      const bits = this.#commonHolders[word] ?? 0;
      const held = row === undefined ? 0 : (this.#rows[row * ROW_WORDS + word] ?? 0);
      const dropped = bits & ~held;
      if (dropped !== 0 && depth > 0) writeDepths(depths, word, dropped, depth);
      this.#commonHolders[word] = bits & held;
      remaining |= bits & held;
    }
    return remaining !== 0;
  }

  #clearBit(hash: string, row: number, holder: number): void {
    const word = row * ROW_WORDS + Math.floor(holder / WORD_BITS);
    this.#rows[word] = (this.#rows[word] ?? 0) & ~createMask(holder);
    const words = this.#rows.subarray(row * ROW_WORDS, (row + 1) * ROW_WORDS);
    if (!isEmptyRow(words)) return;
    this.#rowsByHash.delete(hash);
    this.#freeRows.push(row);
  }

  /** Finds or allocates the row of a block, and marks it as the most recently used. */
  #touchRow(hash: string): number {
    const known = this.#rowsByHash.get(hash);
    if (known !== undefined) this.#rowsByHash.delete(hash);
    const row = known ?? this.#allocateRow();
    this.#rowsByHash.set(hash, row);
    return row;
  }

  #allocateRow(): number {
    const free = this.#freeRows.pop();
    if (free !== undefined) return free;
    if (this.#rowsByHash.size < this.#capacityBlocks) return this.#rowsByHash.size;
    const [oldest] = this.#rowsByHash;
    if (!oldest) throw new Error('the prefix index has a capacity of 0 blocks');
    const [hash, row] = oldest;
    this.#rowsByHash.delete(hash);
    this.#rows.fill(0, row * ROW_WORDS, (row + 1) * ROW_WORDS);
    return row;
  }
}
/* eslint-enable no-bitwise */
