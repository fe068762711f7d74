/**
 * Replay buffer: the bytes of one response that are still held, addressed by their offset in the
 * whole response.
 *
 * Storage is split into blocks of equal size, so that small chunks need no object each and any
 * offset is found without a search.
 */

const BLOCK_BYTES = 4_096;

/** Holds a contiguous range of the bytes of a response. */
export class ReplayBuffer {
  readonly #blocks = new Map<number, Uint8Array>();

  #startOffset = 0;

  #endOffset = 0;

  /** Offset of the first byte still held. */
  get startOffset(): number {
    return this.#startOffset;
  }

  /** Offset after the last byte. */
  get endOffset(): number {
    return this.#endOffset;
  }

  /** Memory allocated for blocks, in bytes. */
  get heldBytes(): number {
    return this.#blocks.size * BLOCK_BYTES;
  }

  /** Appends bytes at the end. */
  append(data: Uint8Array): void {
    let position = 0;
    while (position < data.length) position += this.#appendToBlock(data.subarray(position));
  }

  /** Advances the end without storing the bytes; everything before the new end is released. */
  skip(byteCount: number): void {
    this.#endOffset += byteCount;
    this.releaseBefore(this.#endOffset);
  }

  /**
   * Copies the bytes from `fromOffset` up to, but not including, `toOffset`.
   *
   * @throws Error if a byte of the range is not held
   */
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

  /** Releases the bytes before an offset. */
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
    if (!block || offset < this.#startOffset) throw new Error(`response byte ${offset} not held`);
    const position = offset % BLOCK_BYTES;
    return block.subarray(position, Math.min(BLOCK_BYTES, position + toOffset - offset));
  }
}
