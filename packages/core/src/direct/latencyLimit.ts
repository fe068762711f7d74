/**
 * How many requests each engine of a pool works on at a time, from the pauses that callers see.
 *
 * Answers the load pattern of more streams than the engines can keep on time: with all places taken
 * a slow group makes every stream late. The limit falls by as much as the longest pauses are over
 * their target, and rises, while it binds, some time after they are below.
 */

import { InFlightLimit, type StreamPause } from './inFlightLimit.js';

/** Prompts that one engine reads at a time, from all entries. */
const CONCURRENT_PREFILLS = 3;

/** Interval between two judgements; some events of every stream fall into it. */
const ADJUST_INTERVAL_MS = 500;

/** Pauses from which their quantile means something. */
const SAMPLES_MIN = 20;

/** Quantile that is judged: a stream of thirty events is late by one long pause. */
const PAUSE_QUANTILE = 0.97;

/** Part of the target that the quantile is brought below. */
const TARGET_FRACTION = 0.94;

/** Part of the target below which the limit may rise. */
const INCREASE_BELOW_FRACTION = 0.88;

/** Part that the limit falls for each part that pauses are too long: two fifths hang on it. */
const SENSITIVITY = 2.5;

/** Smallest factor of one fall. */
const DECREASE_FACTOR_MIN = 0.7;

/** Step by which it rises. */
const INCREASE_STEP = 0.5;

/** Time after a fall in which it does not rise: about one stream. */
const HOLD_AFTER_DECREASE_MS = 1_500;

/** Part of the places that is used whatever the pauses are. */
const FLOOR_FRACTION = 0.5;

/** Limit of one pool, for each of its engines. */
export class LatencyLimit extends InFlightLimit {
  readonly #slots: number;

  #value: number;

  /** Pauses since the last judgement, against their targets. */
  #ratios: number[] = [];

  #wasReached = false;

  #adjustedAtMs = 0;

  #decreasedAtMs = Number.NEGATIVE_INFINITY;

  readonly #onChange: (ratio: number) => void;

  /**
   * @param slots requests that one engine works on at the same time, and the limit at first
   * @param onChange hears the ratio of pauses to their target for which the limit has changed
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
