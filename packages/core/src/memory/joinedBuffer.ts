/**
 * Joins pieces into one buffer, as each piece that is kept alone costs some hundred bytes.
 *
 * A single piece is kept as it is. The capacity doubles up to a step, so that each byte is copied a
 * few times at most and little of the capacity is unused.
 */
const FIRST_BYTES = 1_024;

/** Largest growth in one step. */
const GROWTH_BYTES_MAX = 64 * 1024;

const EMPTY = Buffer.alloc(0);

export class JoinedBuffer {
  #bytes: Buffer = EMPTY;

  #sizeBytes = 0;

  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /** Memory that is in use. */
  get capacityBytes(): number {
    return this.#bytes.length;
  }

  append(piece: Buffer): void {
    if (this.#sizeBytes === 0) {
      this.#bytes = piece;
      this.#sizeBytes = piece.length;
      return;
    }
    const sizeBytes = this.#sizeBytes + piece.length;
    if (sizeBytes > this.#bytes.length) this.#grow(sizeBytes);
    piece.copy(this.#bytes, this.#sizeBytes);
    this.#sizeBytes = sizeBytes;
  }

  /** Returns all bytes; they stay in the buffer. */
  read(): Buffer {
    return this.#bytes.subarray(0, this.#sizeBytes);
  }

  /** Returns all bytes and empties the buffer. */
  take(): Buffer {
    const taken = this.read();
    this.#bytes = EMPTY;
    this.#sizeBytes = 0;
    return taken;
  }

  #grow(neededBytes: number): void {
    const currentBytes = this.#bytes.length;
    const doubledBytes = currentBytes + Math.min(currentBytes, GROWTH_BYTES_MAX);
    const grown = Buffer.allocUnsafeSlow(Math.max(neededBytes, doubledBytes, FIRST_BYTES));
    this.#bytes.copy(grown, 0, 0, this.#sizeBytes);
    this.#bytes = grown;
  }
}
