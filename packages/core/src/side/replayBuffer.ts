/**
 * The bytes of one answer that are still held, addressed by their position in the whole answer.
 *
 * Kept in blocks of one size, so that small pieces cost no object each and any position is found
 * without a search.
 */

/** Size of a block. */
const BLOCK_BYTES = 4_096;

/** Bytes of an answer between two positions. */
export class ReplayBuffer {
  readonly #blocks = new Map<number, Uint8Array>();

  #startOffset = 0;

  #endOffset = 0;

  /** Position of the first byte still held. */
  get startOffset(): number {
    return this.#startOffset;
  }

  /** Position after the last byte. */
  get endOffset(): number {
    return this.#endOffset;
  }

  /** Memory in use. */
  get heldBytes(): number {
    return this.#blocks.size * BLOCK_BYTES;
  }

  /** Adds bytes at the end. */
  append(data: Uint8Array): void {
    let position = 0;
    while (position < data.length) position += this.#appendToBlock(data.subarray(position));
  }

  /** Counts bytes without holding them; all before the new end is released. */
  skip(byteCount: number): void {
    this.#endOffset += byteCount;
    this.releaseBefore(this.#endOffset);
  }

  /** Copies out the bytes from one position up to another; both must be held. */
  read(fromOffset: number, toOffset: number): Uint8Array<ArrayBuffer> {
    const result = new Uint8Array(toOffset - fromOffset);
    let offset = fromOffset;
    while (offset < toOffset) {
      const chunk = this.#readBlock(offset, toOffset);
      result.set(chunk, offset - fromOffset);
      offset += chunk.length;
    }
    return result;
  }

  /** Lets go of the bytes before a position. */
  releaseBefore(offset: number): void {
    const startOffset = Math.min(offset, this.#endOffset);
    if (startOffset <= this.#startOffset) return;
    const first = Math.floor(this.#startOffset / BLOCK_BYTES);
    const last = Math.floor(startOffset / BLOCK_BYTES);
    for (let index = first; index < last; index += 1) this.#blocks.delete(index);
    if (startOffset === this.#endOffset) this.#blocks.delete(last);
    this.#startOffset = startOffset;
  }

  #appendToBlock(data: Uint8Array): number {
    const index = Math.floor(this.#endOffset / BLOCK_BYTES);
    const position = this.#endOffset % BLOCK_BYTES;
    const block = this.#blocks.get(index) ?? new Uint8Array(BLOCK_BYTES);
    this.#blocks.set(index, block);
    const chunk = data.subarray(0, BLOCK_BYTES - position);
    block.set(chunk, position);
    this.#endOffset += chunk.length;
    return chunk.length;
  }

  #readBlock(offset: number, toOffset: number): Uint8Array {
    const block = this.#blocks.get(Math.floor(offset / BLOCK_BYTES));
    if (!block || offset < this.#startOffset) throw new Error(`answer not held at ${offset}`);
    const position = offset % BLOCK_BYTES;
    return block.subarray(position, Math.min(BLOCK_BYTES, position + toOffset - offset));
  }
}
