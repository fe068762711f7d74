/**
 * Keeps each priority of a pool from being starved by more urgent ones.
 *
 * Answers a load in which more urgent requests alone use up the pool for seconds. Every first
 * attempt earns its priority a part of a slot; a request whose priority has earned a whole one that
 * it was not given goes before all others.
 */

/**
 * Part of the common share that every priority gets. A quarter is required; some of the requests
 * that are put first are late all the same.
 */
const MINIMUM_FRACTION = 0.35;

/** Slots that a priority can save up, so that a burst does not take many at once. */
const SAVED_MAX = 2;

/** Weight of the newest request in the part of requests that are admitted. */
const SMOOTHING = 0.02;

export class MinimumShare {
  readonly #earned = new Map<number, number>();

  /** Part of the first attempts of all priorities that are admitted. */
  #commonShare = 1;

  /**
   * Records a first attempt of a caller.
   *
   * @returns whether it is put first
   */
  noteArrival(priority: number): boolean {
    this.#commonShare -= SMOOTHING * this.#commonShare;
    const earned = (this.#earned.get(priority) ?? 0) + MINIMUM_FRACTION * this.#commonShare;
    this.#earned.set(priority, Math.min(SAVED_MAX, earned));
    return earned >= 1;
  }

  /** Records that a first attempt has been given a slot. */
  noteAdmitted(priority: number): void {
    this.#commonShare = Math.min(1, this.#commonShare + SMOOTHING);
    this.#earned.set(priority, Math.max(0, (this.#earned.get(priority) ?? 0) - 1));
  }
}
