/**
 * Watches how long the caller of a stream has received no event, even if the upstream keeps sending
 * incomplete ones. Time during which the caller itself is slow does not count.
 */
import type { ResponseTimes } from './responseTimes.js';

export interface CallerPatienceOptions {
  /** Time without an event after which callers give up. */
  readonly patienceMs: number;
  readonly times: ResponseTimes;
  /** Called once the caller has received no event for that time. */
  readonly onExhausted: (silentMs: number) => void;
}

/** Patience of one caller. */
export class CallerPatience {
  readonly #options: CallerPatienceOptions;

  #timer: NodeJS.Timeout | undefined;

  /** Whether the response is paused, as the caller reads it more slowly than it arrives. */
  #isCallerSlow = false;

  constructor(options: CallerPatienceOptions) {
    this.#options = options;
  }

  start(): void {
    const { patienceMs, times, onExhausted } = this.#options;
    const silentMs = this.#isCallerSlow ? 0 : times.readSilentMs(performance.now());
    const leftMs = patienceMs - silentMs;
    if (leftMs > 0) this.#timer = setTimeout(() => this.start(), Math.ceil(leftMs));
    else onExhausted(silentMs);
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  noteCallerSlow(): void {
    this.#isCallerSlow = true;
  }

  noteCallerReady(): void {
    this.#isCallerSlow = false;
    this.#options.times.noteResumed(performance.now());
  }
}
