/** Passes the bytes of a connection on, one way. */
import type { Socket } from 'node:net';

/** One way of a connection; it keeps the order of what it passes on. */
export class RelayWay {
  readonly #from: Socket;

  readonly #to: Socket;

  #isSilent = false;

  #isHeld = false;

  /** What is due, in order; timers of different lengths may fire out of theirs. */
  readonly #due: { readonly atMs: number; readonly act: () => void }[] = [];

  #timer: NodeJS.Timeout | undefined;

  constructor(from: Socket, to: Socket, readDelayMs: () => number) {
    this.#from = from;
    this.#to = to;
    from.on('data', (data) => this.#pass(readDelayMs(), () => this.#write(data)));
    from.on('end', () => this.#pass(readDelayMs(), () => to.end()));
    to.on('drain', () => {
      if (!this.#isHeld) from.resume();
    });
  }

  /** Keeps what comes until it is let go again, as a network does that loses packets. */
  hold(): void {
    this.#isHeld = true;
    this.#from.pause();
  }

  release(): void {
    this.#isHeld = false;
    this.#from.resume();
  }

  /** Drops all that still comes; the connection stays up. */
  silence(): void {
    this.#isSilent = true;
    this.#from.resume();
  }

  #pass(delayMs: number, act: () => void): void {
    if (this.#isSilent) return;
    this.#due.push({ atMs: performance.now() + delayMs, act });
    this.#actOnDue();
  }

  /** Does what is due; nothing overtakes what came before it. */
  #actOnDue(): void {
    const nowMs = performance.now();
    for (let next = this.#due[0]; next && next.atMs <= nowMs; [next] = this.#due) {
      this.#due.shift();
      next.act();
    }
    clearTimeout(this.#timer);
    const [next] = this.#due;
    if (next) this.#timer = setTimeout(() => this.#actOnDue(), next.atMs - nowMs);
  }

  #write(data: Buffer): void {
    if (!this.#to.writable || this.#isSilent) return;
    if (!this.#to.write(data)) this.#from.pause();
  }
}
