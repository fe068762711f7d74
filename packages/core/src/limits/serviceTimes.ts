/**
 * Smoothed service times of a pool, per class and over all classes.
 *
 * The estimate for a class adds its mean deviation to its mean, as the retransmission timer of TCP
 * does (RFC 6298): of the requests admitted with only the mean left, half would time out.
 */

/** Weight of the newest sample in the moving averages. */
const SMOOTHING = 0.1;

/** Number of mean deviations added to the mean. */
const DEVIATION_FACTOR = 2;

/** Bounds of the cost of a class relative to the mean of the pool. */
const COST_MIN = 0.1;
const COST_MAX = 10;

interface ClassTime {
  readonly meanMs: number;
  readonly deviationMs: number;
}

function smooth(oldMs: number, newMs: number): number {
  return oldMs + SMOOTHING * (newMs - oldMs);
}

/** Measured service times of one pool. */
export class ServiceTimes {
  readonly #byClass = new Map<string, ClassTime>();

  #meanMs = 0;

  /** Mean service time over all classes; 0 before the first sample. */
  get meanMs(): number {
    return this.#meanMs;
  }

  /** Adds the service time of one request. */
  add(className: string, serviceMs: number): void {
    this.#meanMs = smooth(this.#meanMs || serviceMs, serviceMs);
    const { meanMs, deviationMs } = this.#byClass.get(className) ?? {
      meanMs: serviceMs,
      deviationMs: 0,
    };
    this.#byClass.set(className, {
      meanMs: smooth(meanMs, serviceMs),
      deviationMs: smooth(deviationMs, Math.abs(serviceMs - meanMs)),
    });
  }

  /** Service time that most requests of a class do not exceed; 0 before its first sample. */
  readUpperBoundMs(className: string): number {
    const { meanMs, deviationMs } = this.#byClass.get(className) ?? { meanMs: 0, deviationMs: 0 };
    return meanMs + DEVIATION_FACTOR * deviationMs;
  }

  /** Mean service time of a class relative to the mean of the pool; 1 if not known. */
  readRelativeCost(className: string): number {
    const classMs = this.#byClass.get(className)?.meanMs ?? 0;
    if (classMs === 0 || this.#meanMs === 0) return 1;
    return Math.min(COST_MAX, Math.max(COST_MIN, classMs / this.#meanMs));
  }
}
