/**
 * Smoothed times for which requests hold their places, by class and over all classes of a pool.
 *
 * A class's time has its mean deviation added, as in the retransmission timer of TCP (RFC 6298):
 * a request that is let in with only the mean left would be cut off half of the time.
 */

/** Weight of the newest time in the smoothed ones. */
const SMOOTHING = 0.1;

/** Mean deviations added to the mean. */
const DEVIATIONS = 2;

/** Bounds of the cost of one class against the mean. */
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

  /** Mean over all classes; 0 before the first request. */
  get meanMs(): number {
    return this.#meanMs;
  }

  /** Takes the time in for which a request held its place. */
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

  /** Time that most requests of a class need at most; 0 before its first request. */
  readLong(className: string): number {
    const { meanMs, deviationMs } = this.#byClass.get(className) ?? { meanMs: 0, deviationMs: 0 };
    return meanMs + DEVIATIONS * deviationMs;
  }

  /** Mean time of one class against that of all; 1 where it is not known. */
  readCost(className: string): number {
    const classMs = this.#byClass.get(className)?.meanMs ?? 0;
    if (classMs === 0 || this.#meanMs === 0) return 1;
    return Math.min(COST_MAX, Math.max(COST_MIN, classMs / this.#meanMs));
  }
}
