/** Smoothed times for which requests hold their places, by class and over all classes of a pool. */

/** Weight of the newest time in the smoothed one. */
const SMOOTHING = 0.1;

/** Bounds of the cost of one class against the mean. */
const COST_MIN = 0.1;
const COST_MAX = 10;

function smooth(oldMs: number, serviceMs: number): number {
  return oldMs + SMOOTHING * (serviceMs - oldMs);
}

/** Measured service times of one pool. */
export class ServiceTimes {
  readonly #byClass = new Map<string, number>();

  #meanMs = 0;

  /** Mean over all classes; 0 before the first request. */
  get meanMs(): number {
    return this.#meanMs;
  }

  /** Takes the time in for which a request held its place. */
  add(className: string, serviceMs: number): void {
    this.#meanMs = smooth(this.#meanMs || serviceMs, serviceMs);
    this.#byClass.set(className, smooth(this.#byClass.get(className) ?? serviceMs, serviceMs));
  }

  /** Time of one class; 0 before its first request. */
  read(className: string): number {
    return this.#byClass.get(className) ?? 0;
  }

  /** Time of one class against the mean; 1 where it is not known. */
  readCost(className: string): number {
    const classMs = this.read(className);
    if (classMs === 0 || this.#meanMs === 0) return 1;
    return Math.min(COST_MAX, Math.max(COST_MIN, classMs / this.#meanMs));
  }
}
