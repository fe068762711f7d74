/**
 * Limits the requests in flight at each engine of a group by a model of its pass times.
 *
 * Handles demand that shifts to other experts: within one pass the group becomes twice as slow, and
 * every stream admitted after that is late. A limit that decreases step by step as late pauses are
 * observed lags behind all the time. This one learns from the pauses by which factor passes take
 * longer than predicted, and calculates at once how many requests keep them on time.
 */
import { InFlightLimit, type StreamPause } from './inFlightLimit.js';
import type { PassModel } from './passModel.js';

/** Interval between adjustments, in milliseconds: a few passes. */
const ADJUST_INTERVAL_MS = 250;

/** Number of pauses from which their quantile is meaningful. */
const SAMPLES_MIN = 12;

/** Quantile of the pauses that is used: one long pause makes a stream late. */
const PAUSE_QUANTILE = 0.97;

/** Part of the target that passes are kept below. */
const TARGET_FRACTION = 0.94;

/** Part of the target that is left for prefills. */
const PREFILL_FRACTION = 0.1;

/**
 * Length of a pause, relative to its target, from which it shows a stall of the group and not the
 * time of a pass. As a slowdown, one stall of 1.5 s would determine the limit for 13 s.
 */
const STALL_TARGETS = 4;

/** Assumed slowdown factor before any pause was observed. */
const INITIAL_SLOWDOWN = 1.5;

/**
 * Weight of a lower slowdown; a higher one applies at once. Demand that has shifted shifts again
 * within seconds, which makes all streams late that a higher limit has admitted.
 */
const DECREASE_WEIGHT = 0.05;

/**
 * Value of a late response relative to one on time. Where even a single decoding request makes
 * passes too long, more late responses are better than hardly any on time.
 */
const LATE_RESPONSE_VALUE = 0.4;

/** Passes from sending a prompt to its first event. */
const PASSES_PER_PREFILL = 2;

/** In-flight limit of one pool, per engine. */
export class PassModelLimit extends InFlightLimit {
  readonly #model: PassModel;

  readonly #slots: number;

  readonly #onChange: (slowdown: number) => void;

  #slowdown = INITIAL_SLOWDOWN;

  #targetMs: number | undefined;

  /** Pauses since the last adjustment, relative to the predicted pass time. */
  #ratios: number[] = [];

  #adjustedAtMs = 0;

  /**
   * @param slots requests that one engine works on at the same time
   * @param onChange called with the slowdown factor when the limit has changed
   */
  constructor(model: PassModel, slots: number, onChange: (slowdown: number) => void = () => {}) {
    super();
    this.#model = model;
    this.#slots = slots;
    this.#onChange = onChange;
  }

  /** Factor by which passes take longer than the model predicts. */
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

  /** Does nothing, as the limit depends on the pass times alone. */
  override noteLimitReached(): void {}

  override notePause({ pauseMs, targetMs, decodingRequests }: StreamPause, nowMs: number): void {
    this.#targetMs = targetMs;
    if (pauseMs > STALL_TARGETS * targetMs) return;
    this.#ratios.push(pauseMs / this.#model.predictMs(decodingRequests, this.#prefillTokens));
    if (nowMs - this.#adjustedAtMs >= ADJUST_INTERVAL_MS) this.#adjust(nowMs);
  }

  /** Prompt tokens that one engine may prefill in a pass. */
  get #prefillTokens(): number {
    const prefillMs = (PREFILL_FRACTION * (this.#targetMs ?? 0)) / this.#slowdown;
    return this.#model.countPrefillTokens(prefillMs);
  }

  /**
   * Whether on-time responses at a lower limit are worth more than late ones with all slots used.
   */
  #isOnTimeWorthMore(onTime: number): boolean {
    if (onTime < 1) return false;
    const prefillTokens = this.#prefillTokens;
    const onTimeRate = onTime / this.#model.predictMs(onTime, prefillTokens);
    const lateRate = this.#slots / this.#model.predictMs(this.#slots, prefillTokens);
    return onTimeRate > LATE_RESPONSE_VALUE * lateRate;
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
