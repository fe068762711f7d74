/**
 * A deadline that holds by two clocks of this process at once.
 *
 * The wall clock may be set back, and the monotonic clock stands still while a VM is suspended; a
 * deadline is past as soon as either of them says so. A process that was paused finds its deadlines
 * past at the moment when it runs again.
 */

/** A moment in time after which something must no longer be done. */
export class Deadline {
  readonly #wallEndMs: number;

  readonly #monotonicEndMs: number;

  private constructor(wallEndMs: number, monotonicEndMs: number) {
    this.#wallEndMs = wallEndMs;
    this.#monotonicEndMs = monotonicEndMs;
  }

  /** Makes a deadline that is a span from now; a negative span is past. */
  static after(spanMs: number): Deadline {
    return new Deadline(Date.now() + spanMs, performance.now() + spanMs);
  }

  /** Time left by the clock that is closer to the end; 0 once past. */
  get remainingMs(): number {
    const wallMs = this.#wallEndMs - Date.now();
    const monotonicMs = this.#monotonicEndMs - performance.now();
    return Math.max(0, Math.min(wallMs, monotonicMs));
  }

  get isPast(): boolean {
    return this.remainingMs <= 0;
  }

  /** Makes a deadline that lies earlier or later by a span. */
  shift(spanMs: number): Deadline {
    return new Deadline(this.#wallEndMs + spanMs, this.#monotonicEndMs + spanMs);
  }

  /** Whether this deadline ends after another one, by the monotonic clock. */
  isAfter(other: Deadline): boolean {
    return this.#monotonicEndMs > other.#monotonicEndMs;
  }
}
