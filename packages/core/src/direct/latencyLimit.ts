/**
 * Limits the requests in flight at each engine of a pool by the pauses that callers see.
 *
 * Handles more streams than the engines can keep on time: with all slots used, a slow group makes
 * every stream late. The limit decreases in proportion to how far the longest pauses exceed their
 * target. It increases again some time after they are below the target, if requests had to wait for
 * it.
 */

import { InFlightLimit, type StreamPause } from './inFlightLimit.js';

/** Prefills that one engine may run at the same time, for all entries. */
const CONCURRENT_PREFILLS = 3;

/** Interval between adjustments, in milliseconds; every stream has several events within it. */
const ADJUST_INTERVAL_MS = 500;

/** Number of pauses from which their quantile is meaningful. */
const SAMPLES_MIN = 20;

/**
 * Quantile that is compared with the target: one long pause makes a stream of thirty events late.
 */
const PAUSE_QUANTILE = 0.97;

/** Part of the target that the quantile is kept below. */
const TARGET_FRACTION = 0.94;

/** Part of the target below which the limit may increase. */
const INCREASE_BELOW_FRACTION = 0.88;

/**
 * Relative decrease of the limit for each relative excess of the pauses. About two fifths of a pass
 * depend on the number of requests.
 */
const SENSITIVITY = 2.5;

/** Smallest factor of a single decrease. */
const DECREASE_FACTOR_MIN = 0.7;

/** Step of an increase, in requests. */
const INCREASE_STEP = 0.5;

/** Time after a decrease without an increase, in milliseconds: about the duration of one stream. */
const HOLD_AFTER_DECREASE_MS = 1_500;

/** Part of the slots that is used regardless of the pauses. */
const FLOOR_FRACTION = 0.5;

/** In-flight limit of one pool, per engine. */
export class LatencyLimit extends InFlightLimit {
  readonly #slots: number;

  #value: number;

  /** Pauses since the last adjustment, relative to their targets. */
  #ratios: number[] = [];

  #wasReached = false;

  #adjustedAtMs = 0;

  #decreasedAtMs = Number.NEGATIVE_INFINITY;

  readonly #onChange: (ratio: number) => void;

  /**
   * @param slots requests that one engine works on at the same time; also the initial limit
   * @param onChange called with the ratio of the pauses to their target when the limit has changed
   */
  constructor(slots: number, onChange: (ratio: number) => void = () => {}) {
    super();
    this.#onChange = onChange;
    this.#slots = slots;
    this.#value = slots;
  }

  override get value(): number {
    return this.#value;
  }

  override get isPoolAverage(): boolean {
    return false;
  }

  override get concurrentPrefills(): number {
    return CONCURRENT_PREFILLS;
  }

  override noteLimitReached(): void {
    this.#wasReached = true;
  }

  override notePause({ pauseMs, targetMs }: StreamPause, nowMs: number): void {
    this.#ratios.push(pauseMs / targetMs);
    if (nowMs - this.#adjustedAtMs >= ADJUST_INTERVAL_MS) this.#adjust(nowMs);
  }

  #adjust(nowMs: number): void {
    if (this.#ratios.length < SAMPLES_MIN) return;
    const sorted = this.#ratios.sort((a, b) => a - b);
    const ratio = sorted[Math.floor(sorted.length * PAUSE_QUANTILE)] ?? 0;
    const before = this.#value;
    if (ratio > TARGET_FRACTION) this.#decrease(ratio, nowMs);
    else if (
      ratio < INCREASE_BELOW_FRACTION &&
      this.#wasReached &&
      nowMs - this.#decreasedAtMs > HOLD_AFTER_DECREASE_MS
    ) {
      this.#value = Math.min(this.#slots, this.#value + INCREASE_STEP);
    }
    this.#ratios = [];
    this.#wasReached = false;
    this.#adjustedAtMs = nowMs;
    if (this.#value !== before) this.#onChange(ratio);
  }

  #decrease(ratio: number, nowMs: number): void {
    const factor = 1 - SENSITIVITY * (1 - TARGET_FRACTION / ratio);
    const value = this.#value * Math.max(DECREASE_FACTOR_MIN, factor);
    this.#value = Math.max(this.#slots * FLOOR_FRACTION, value);
    this.#decreasedAtMs = nowMs;
  }
}
