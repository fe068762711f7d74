/** Recent pauses of this entry's streams at one upstream, and the slowdown that they show. */

/** Weight of the newest pause: a slow upstream shows within about ten events. */
const SMOOTHING_WEIGHT = 0.1;

/** Number of pauses from which their mean tells anything. */
const SAMPLES_MIN = 5;

/** Age from which the mean pause is no longer compared with others, in milliseconds. */
const COMPARABLE_MS = 1_000;

/**
 * Time after which a slowdown counts for 1/e, in milliseconds. An upstream that was slow thus gets
 * a few requests again, and more as these are answered at the usual pace.
 */
const FORGET_MS = 4_000;

/**
 * Time after which a slowdown that is over counts for 1/e, in milliseconds: an upstream that is
 * back has no requests, and would get all of the next ones.
 */
const EASE_MS = 1_000;

/** Pace of one upstream, as observed by this entry. */
export class UpstreamPace {
  #mean = 0;

  #samples = 0;

  #notedAtMs = Number.NEGATIVE_INFINITY;

  #slowdown = 1;

  #comparedAtMs = 0;

  #recent = 1;

  #recentAtMs = 0;

  /** Records a pause between two events, in a unit that is the same for the whole pool. */
  notePause(pause: number, nowMs: number): void {
    const isOutdated = nowMs - this.#notedAtMs > COMPARABLE_MS;
    this.#samples = isOutdated ? 1 : this.#samples + 1;
    const weight = Math.max(SMOOTHING_WEIGHT, 1 / this.#samples);
    this.#mean += weight * (pause - this.#mean);
    this.#notedAtMs = nowMs;
  }

  /** Mean of the recent pauses; 0 before the first one. */
  get mean(): number {
    return this.#mean;
  }

  /** Mean of the recent pauses; undefined where there are too few. */
  readMean(nowMs: number): number | undefined {
    const isUsable = this.#samples >= SAMPLES_MIN && nowMs - this.#notedAtMs <= COMPARABLE_MS;
    return isUsable ? this.#mean : undefined;
  }

  /** Records by which factor the upstream is slower than its pool. */
  noteSlowdown(slowdown: number, nowMs: number): void {
    this.#slowdown = slowdown;
    this.#comparedAtMs = nowMs;
    this.noteRecent(slowdown, nowMs);
  }

  /** Records a slowdown, own or reported, so that the way back from it is gradual. */
  noteRecent(slowdown: number, nowMs: number): void {
    if (slowdown < this.readRecent(nowMs)) return;
    this.#recent = slowdown;
    this.#recentAtMs = nowMs;
  }

  /** Largest recent slowdown, which fades to 1. */
  readRecent(nowMs: number): number {
    return 1 + (this.#recent - 1) * Math.exp((this.#recentAtMs - nowMs) / EASE_MS);
  }

  /** Factor by which the upstream is slower than its pool. */
  readSlowdown(nowMs: number): number {
    return 1 + (this.#slowdown - 1) * Math.exp((this.#comparedAtMs - nowMs) / FORGET_MS);
  }
}
