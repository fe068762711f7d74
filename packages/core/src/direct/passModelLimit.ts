/**
 * How many requests each engine of a group works on at a time, from a model of its passes.
 *
 * Answers the load pattern of demand that shifts to other experts: within one pass the group is
 * twice as slow, and every stream that is let in after that is late. A limit that feels its way
 * down from late pauses is behind all the while. This one learns from the pauses how much longer
 * passes take than the model says, and works out at once how many requests keep them in time.
 */
import { InFlightLimit, type StreamPause } from './inFlightLimit.js';
import type { PassModel } from './passModel.js';

/** Interval between two judgements: a few passes. */
const ADJUST_INTERVAL_MS = 250;

/** Pauses from which their quantile means something. */
const SAMPLES_MIN = 12;

/** Quantile of the pauses that is judged: a stream is late by one long pause. */
const PAUSE_QUANTILE = 0.97;

/** Part of the target that passes are kept below. */
const TARGET_FRACTION = 0.94;

/** Part of the target that is left for reading prompts. */
const PREFILL_FRACTION = 0.1;

/** How much longer passes take than the model says, before any pause was seen. */
const INITIAL_SLOWDOWN = 1.5;

/**
 * Weight of a lower slowdown; a higher one holds at once. Demand that has shifted shifts again
 * within seconds, and makes all streams late that a higher limit has let in.
 */
const DECREASE_WEIGHT = 0.05;

/**
 * Part of the worth of an answer on time that a late one has. Where even a single writing request
 * makes passes too long, more late answers are better than hardly any on time.
 */
const LATE_ANSWER_VALUE = 0.4;

/** Passes from sending a prompt to its first event. */
const PASSES_PER_PREFILL = 2;

/** Limit of one pool, for each of its engines. */
export class PassModelLimit extends InFlightLimit {
  readonly #model: PassModel;

  readonly #slots: number;

  readonly #onChange: (slowdown: number) => void;

  #slowdown = INITIAL_SLOWDOWN;

  #targetMs: number | undefined;

  /** Pauses since the last judgement, against what the model says of them. */
  #ratios: number[] = [];

  #adjustedAtMs = 0;

  /**
   * @param slots requests that one engine works on at the same time
   * @param onChange hears how much longer passes take than the model says, as the limit changes
   */
  constructor(model: PassModel, slots: number, onChange: (slowdown: number) => void = () => {}) {
    super();
    this.#model = model;
    this.#slots = slots;
    this.#onChange = onChange;
  }

  /** How much longer passes take than the model says. */
  get slowdown(): number {
    return this.#slowdown;
  }

  override get value(): number {
    if (this.#targetMs === undefined) return this.#slots;
    const evenPassMs = (TARGET_FRACTION * this.#targetMs) / this.#slowdown;
    const onTime = Math.min(
      this.#slots,
      this.#model.solveDecodingRequests(evenPassMs, this.#prefillTokens),
    );
    return this.#isOnTimeWorthMore(onTime) ? onTime : this.#slots;
  }

  override get isPoolAverage(): boolean {
    return true;
  }

  override get concurrentPrefills(): number {
    return (PASSES_PER_PREFILL * this.#prefillTokens) / this.#model.promptTokens;
  }

  /** The limit follows from the passes alone. */
  override noteLimitReached(): void {}

  override notePause({ pauseMs, targetMs, decodingRequests }: StreamPause, nowMs: number): void {
    this.#targetMs = targetMs;
    this.#ratios.push(pauseMs / this.#model.predictMs(decodingRequests, this.#prefillTokens));
    if (nowMs - this.#adjustedAtMs >= ADJUST_INTERVAL_MS) this.#adjust(nowMs);
  }

  /** Prompt tokens that one engine may read in a pass. */
  get #prefillTokens(): number {
    const prefillMs = (PREFILL_FRACTION * (this.#targetMs ?? 0)) / this.#slowdown;
    return this.#model.countPrefillTokens(prefillMs);
  }

  /** Whether answers on time at a limit are worth more than late ones with all places taken. */
  #isOnTimeWorthMore(onTime: number): boolean {
    if (onTime < 1) return false;
    const prefillTokens = this.#prefillTokens;
    const onTimeRate = onTime / this.#model.predictMs(onTime, prefillTokens);
    const lateRate = this.#slots / this.#model.predictMs(this.#slots, prefillTokens);
    return onTimeRate > LATE_ANSWER_VALUE * lateRate;
  }

  #adjust(nowMs: number): void {
    if (this.#ratios.length < SAMPLES_MIN) return;
    const sorted = this.#ratios.sort((a, b) => a - b);
    const slowdown = sorted[Math.floor(sorted.length * PAUSE_QUANTILE)] ?? this.#slowdown;
    const before = this.value;
    const weight = slowdown > this.#slowdown ? 1 : DECREASE_WEIGHT;
    this.#slowdown += weight * (slowdown - this.#slowdown);
    this.#ratios = [];
    this.#adjustedAtMs = nowMs;
    if (Math.floor(this.value) !== Math.floor(before)) this.#onChange(this.#slowdown);
  }
}
