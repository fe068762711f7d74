/**
 * A deadline that is checked against both the wall clock and the monotonic clock.
 *
 * The wall clock may be set back, and the monotonic clock stops while a VM is suspended, so a
 * deadline is past as soon as either clock has reached it. A process that was paused therefore sees
 * its deadlines as past as soon as it resumes.
 */

/** A point in time after which an action must no longer be taken. */
export class Deadline {
  readonly #wallEndMs: number;

  readonly #monotonicEndMs: number;

  private constructor(wallEndMs: number, monotonicEndMs: number) {
    this.#wallEndMs = wallEndMs;
    this.#monotonicEndMs = monotonicEndMs;
  }

  /** Creates a deadline `spanMs` from now; with a negative span it is already past. */
  static after(spanMs: number): Deadline {
    return new Deadline(Date.now() + spanMs, performance.now() + spanMs);
  }

  /** Remaining time by the clock that is closer to the end; 0 once past. */
  get remainingMs(): number {
    const wallMs = this.#wallEndMs - Date.now();
    const monotonicMs = this.#monotonicEndMs - performance.now();
    return Math.max(0, Math.min(wallMs, monotonicMs));
  }

  get isPast(): boolean {
    return this.remainingMs <= 0;
  }

  /** Returns a deadline that is `spanMs` later, or earlier if the span is negative. */
  shift(spanMs: number): Deadline {
    return new Deadline(this.#wallEndMs + spanMs, this.#monotonicEndMs + spanMs);
  }

  /** Whether this deadline is later than another one by the monotonic clock. */
  isAfter(other: Deadline): boolean {
    return this.#monotonicEndMs > other.#monotonicEndMs;
  }
}
