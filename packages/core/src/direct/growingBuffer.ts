/**
 * Buffer for bytes that are held back until they are complete.
 *
 * The bytes are copied, as a few retained bytes would keep the whole buffer alive into which they
 * were read. The capacity doubles, so that each byte is copied a few times at most.
 */
export class GrowingBuffer {
  #bytes = Buffer.alloc(0);

  #sizeBytes = 0;

  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /** Memory that is in use. */
  get capacityBytes(): number {
    return this.#bytes.length;
  }

  append(piece: Buffer): void {
    const sizeBytes = this.#sizeBytes + piece.length;
    if (sizeBytes > this.#bytes.length) {
      const grown = Buffer.alloc(Math.max(sizeBytes, this.#bytes.length * 2));
      this.#bytes.copy(grown, 0, 0, this.#sizeBytes);
      this.#bytes = grown;
    }
    piece.copy(this.#bytes, this.#sizeBytes);
    this.#sizeBytes = sizeBytes;
  }

  /** Returns all buffered bytes, which the next change of the buffer invalidates. */
  peek(): Buffer {
    return this.#bytes.subarray(0, this.#sizeBytes);
  }

  /** Returns all buffered bytes and empties the buffer. */
  take(): Buffer {
    const taken = this.#bytes.subarray(0, this.#sizeBytes);
    this.#bytes = Buffer.alloc(0);
    this.#sizeBytes = 0;
    return taken;
  }
}
