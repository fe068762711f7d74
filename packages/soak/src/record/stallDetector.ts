/**
 * Detects that the soak's own process did not run for a while, as on a busy machine.
 *
 * Its upstreams, callers and timers stand still meanwhile, so a stall counts as a fault of every
 * entry and upstream.
 */
import { ALL_SUBJECTS, type FaultTimeline } from './faultTimeline.js';

const TICK_MS = 50;

/** Time without a tick that distorts a time limit of two seconds. */
const STALL_THRESHOLD_MS = 400;

/** Measures the gaps between the ticks of a timer. */
export class StallDetector {
  readonly #faultTimeline: FaultTimeline;

  readonly #onStall: (forMs: number) => void;

  #timer: NodeJS.Timeout | undefined;

  #lastTickAtMs = 0;

  /** @param onStall called after each stall with its duration, for reports */
  constructor(faultTimeline: FaultTimeline, onStall: (forMs: number) => void) {
    this.#faultTimeline = faultTimeline;
    this.#onStall = onStall;
  }

  start(): void {
    this.#lastTickAtMs = performance.now();
    this.#timer = setInterval(() => this.#tick(), TICK_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #tick(): void {
    const nowMs = performance.now();
    const sinceLastTickMs = nowMs - this.#lastTickAtMs;
    if (sinceLastTickMs > STALL_THRESHOLD_MS) {
      this.#faultTimeline.beginFault(ALL_SUBJECTS, this.#lastTickAtMs)(nowMs);
      this.#onStall(Math.round(sinceLastTickMs));
    }
    this.#lastTickAtMs = nowMs;
  }
}
