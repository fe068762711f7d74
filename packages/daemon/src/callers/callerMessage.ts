/** A caller's request whose body can be held back. */
/* eslint-disable no-underscore-dangle -- Node's name */
import http from 'node:http';

/**
 * Holds a body back at its connection. `pause` would collect pieces in the stream instead, each as
 * an object of its own: thousands of them for a body in chunks of one byte.
 */
export class CallerMessage extends http.IncomingMessage {
  #isHeld = false;

  /** Stops reading; pieces of what has been read already are still emitted. */
  holdBody(): void {
    this.#isHeld = true;
    this.socket.pause();
  }

  releaseBody(): void {
    if (!this.#isHeld) return;
    this.#isHeld = false;
    super._read(0);
  }

  /** Called by the stream when it wants more bytes. */
  override _read(sizeBytes: number): void {
    if (!this.#isHeld) super._read(sizeBytes);
  }
}
