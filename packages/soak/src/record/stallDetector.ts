/**
 * Notices that the soak's own process did not run for a while, as on a busy machine.
 *
 * Its upstreams, callers and clocks stand still meanwhile, so no entry counts as in touch.
 */
import { EVERYBODY, type TouchBook } from './faultTimeline.js';

const TICK_MS = 50;

/** Time without a tick that disturbs a bound of two seconds. */
const STALL_MS = 400;

/** Ticks as long as it runs. */
export class StallWatch {
  readonly #touch: TouchBook;

  readonly #onStall: (forMs: number) => void;

  #timer: NodeJS.Timeout | undefined;

  #tickedAtMs = 0;

  /** @param onStall hears of each stall, so that reports can tell of it */
  constructor(touch: TouchBook, onStall: (forMs: number) => void) {
    this.#touch = touch;
    this.#onStall = onStall;
  }

  start(): void {
    this.#tickedAtMs = performance.now();
    this.#timer = setInterval(() => this.#tick(), TICK_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #tick(): void {
    const nowMs = performance.now();
    const pastMs = nowMs - this.#tickedAtMs;
    if (pastMs > STALL_MS) {
      this.#touch.noteFault(EVERYBODY, this.#tickedAtMs)(nowMs);
      this.#onStall(Math.round(pastMs));
    }
    this.#tickedAtMs = nowMs;
  }
}
