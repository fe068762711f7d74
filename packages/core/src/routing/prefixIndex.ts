/**
 * Index of prompt prefixes: which upstreams hold which block, in bounded memory.
 *
 * Each block has a row of bits, one for each holder. Rows lie in one array and are reused, the
 * least recently used first, so that memory depends on the capacity alone.
 */

/** Holders that a row has bits for. */
export const HOLDERS_MAX = 256;

const WORD_BITS = 32;

const ROW_WORDS = HOLDERS_MAX / WORD_BITS;

/* eslint-disable no-bitwise -- rows are sets of bits */
function readMask(holder: number): number {
  return 1 << (holder % WORD_BITS);
}

function isEmptyRow(row: Uint32Array): boolean {
  return row.every((word) => word === 0);
}

/** Writes a depth for each holder whose bit is set in a word. */
function writeDepths(depths: Uint16Array, word: number, bits: number, depth: number): void {
  let rest = bits;
  while (rest !== 0) {
    const bit = WORD_BITS - 1 - Math.clz32(rest);
    const holder = word * WORD_BITS + bit;
    depths.fill(depth, holder, holder + 1);
    rest &= ~(1 << bit);
  }
}

/** Blocks and their holders, which are numbers below {@link HOLDERS_MAX}. */
export class PrefixIndex {
  readonly #rows: Uint32Array;

  /** Rows by block hash, the least recently used first. */
  readonly #rowsByHash = new Map<string, number>();

  readonly #freeRows: number[] = [];

  readonly #capacityBlocks: number;

  /** Holders of all blocks so far, while depths are measured. */
  readonly #alive = new Uint32Array(ROW_WORDS);

  constructor(capacityBlocks: number) {
    this.#capacityBlocks = capacityBlocks;
    this.#rows = new Uint32Array(capacityBlocks * ROW_WORDS);
  }

  /** Blocks known. */
  get size(): number {
    return this.#rowsByHash.size;
  }

  /** Notes that a holder has a block. */
  add(hash: string, holder: number): void {
    const row = this.#useRow(hash);
    const word = row * ROW_WORDS + Math.floor(holder / WORD_BITS);
    this.#rows[word] = (this.#rows[word] ?? 0) | readMask(holder);
  }

  /** Notes that a holder has a block no more. */
  remove(hash: string, holder: number): void {
    const row = this.#rowsByHash.get(hash);
    if (row !== undefined) this.#clearBit(hash, row, holder);
  }

  /** Forgets all blocks of a holder. */
  removeHolder(holder: number): void {
    this.#rowsByHash.forEach((row, hash) => this.#clearBit(hash, row, holder));
  }

  /**
   * Measures how many leading blocks each holder has.
   *
   * @param depths one number for each holder, overwritten
   * @returns whether any holder has the first block
   */
  measure(hashes: readonly string[], depths: Uint16Array): boolean {
    const alive = this.#alive;
    depths.fill(0);
    alive.fill(0xffffffff);
    const depth = hashes.findIndex((hash, index) => !this.#narrow(hash, index, depths));
    if (depth < 0) {
      alive.forEach((bits, word) => writeDepths(depths, word, bits, hashes.length));
    }
    return depth !== 0;
  }

  /** Leaves only the holders of one more block; those that drop out get their depth. */
  #narrow(hash: string, depth: number, depths: Uint16Array): boolean {
    const row = this.#rowsByHash.get(hash);
    let left = 0;
    for (let word = 0; word < ROW_WORDS; word += 1) {
      const bits = this.#alive[word] ?? 0;
      const held = row === undefined ? 0 : (this.#rows[row * ROW_WORDS + word] ?? 0);
      const dropped = bits & ~held;
      if (dropped !== 0 && depth > 0) writeDepths(depths, word, dropped, depth);
      this.#alive[word] = bits & held;
      left |= bits & held;
    }
    return left !== 0;
  }

  #clearBit(hash: string, row: number, holder: number): void {
    const word = row * ROW_WORDS + Math.floor(holder / WORD_BITS);
    this.#rows[word] = (this.#rows[word] ?? 0) & ~readMask(holder);
    const words = this.#rows.subarray(row * ROW_WORDS, (row + 1) * ROW_WORDS);
    if (!isEmptyRow(words)) return;
    this.#rowsByHash.delete(hash);
    this.#freeRows.push(row);
  }

  /** Row of a block, which becomes the most recently used. */
  #useRow(hash: string): number {
    const known = this.#rowsByHash.get(hash);
    if (known !== undefined) this.#rowsByHash.delete(hash);
    const row = known ?? this.#takeRow();
    this.#rowsByHash.set(hash, row);
    return row;
  }

  #takeRow(): number {
    const free = this.#freeRows.pop();
    if (free !== undefined) return free;
    if (this.#rowsByHash.size < this.#capacityBlocks) return this.#rowsByHash.size;
    const [oldest] = this.#rowsByHash;
    if (!oldest) throw new Error('prefix index without capacity');
    const [hash, row] = oldest;
    this.#rowsByHash.delete(hash);
    this.#rows.fill(0, row * ROW_WORDS, (row + 1) * ROW_WORDS);
    return row;
  }
}
/* eslint-enable no-bitwise */
