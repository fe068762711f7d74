/**
 * How many requests each engine of a pool works on at a time, from the pauses that callers see.
 *
 * Answers the load pattern of more streams than the engines can keep on time: with all places taken
 * a slow group makes every stream late. The limit falls by as much as the longest pauses are over
 * their target, and rises, while it binds, some time after they are below.
 */

import { EngineLimit, type StreamPause } from './engineLimit.js';

/** Prompts that one engine reads at a time, from all entries. */
const PROMPTS_READING = 3;

/** Interval between two judgements; some events of every stream fall into it. */
const JUDGE_MS = 500;

/** Pauses from which their quantile means something. */
const SAMPLES_MIN = 20;

/** Quantile that is judged: a stream of thirty events is late by one long pause. */
const QUANTILE = 0.97;

/** Part of the target that the quantile is brought below. */
const AIM = 0.94;

/** Part of the target below which the limit may rise. */
const CALM = 0.88;

/** Part that the limit falls for each part that pauses are too long: two fifths hang on it. */
const SENSITIVITY = 2.5;

/** Smallest factor of one fall. */
const FALL_MIN = 0.7;

/** Step by which it rises. */
const RISE = 0.5;

/** Time after a fall in which it does not rise: about one stream. */
const REST_MS = 1_500;

/** Part of the places that is used whatever the pauses are. */
const FLOOR_PART = 0.5;

/** Limit of one pool, for each of its engines. */
export class LatencyLimit extends EngineLimit {
  readonly #slots: number;

  #value: number;

  /** Pauses since the last judgement, against their targets. */
  #ratios: number[] = [];

  #isBinding = false;

  #judgedAtMs = 0;

  #fellAtMs = Number.NEGATIVE_INFINITY;

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

  override get isAverage(): boolean {
    return false;
  }

  override get promptsReading(): number {
    return PROMPTS_READING;
  }

  override noteBinding(): void {
    this.#isBinding = true;
  }

  override notePause({ pauseMs, targetMs }: StreamPause, nowMs: number): void {
    this.#ratios.push(pauseMs / targetMs);
    if (nowMs - this.#judgedAtMs >= JUDGE_MS) this.#judge(nowMs);
  }

  #judge(nowMs: number): void {
    if (this.#ratios.length < SAMPLES_MIN) return;
    const sorted = this.#ratios.sort((a, b) => a - b);
    const ratio = sorted[Math.floor(sorted.length * QUANTILE)] ?? 0;
    const before = this.#value;
    if (ratio > AIM) this.#fall(ratio, nowMs);
    else if (ratio < CALM && this.#isBinding && nowMs - this.#fellAtMs > REST_MS) {
      this.#value = Math.min(this.#slots, this.#value + RISE);
    }
    this.#ratios = [];
    this.#isBinding = false;
    this.#judgedAtMs = nowMs;
    if (this.#value !== before) this.#onChange(ratio);
  }

  #fall(ratio: number, nowMs: number): void {
    const factor = 1 - SENSITIVITY * (1 - AIM / ratio);
    const value = this.#value * Math.max(FALL_MIN, factor);
    this.#value = Math.max(this.#slots * FLOOR_PART, value);
    this.#fellAtMs = nowMs;
  }
}
