/**
 * How many requests each engine of a group works on at a time, from a model of its passes.
 *
 * Answers the load pattern of demand that shifts to other experts: within one pass the group is
 * twice as slow, and every stream that is let in after that is late. A limit that feels its way
 * down from late pauses is behind all the while. This one learns from the pauses how much longer
 * passes take than the model says, and works out at once how many requests keep them in time.
 */
import { EngineLimit, type StreamPause } from './engineLimit.js';
import type { PassModel } from './passModel.js';

/** Interval between two judgements: a few passes. */
const JUDGE_MS = 250;

/** Pauses from which their quantile means something. */
const SAMPLES_MIN = 12;

/** Quantile of the pauses that is judged: a stream is late by one long pause. */
const QUANTILE = 0.97;

/** Part of the target that passes are kept below. */
const AIM = 0.94;

/** Part of the target that is left for reading prompts. */
const READ_PART = 0.1;

/** How much longer passes take than the model says, before any pause was seen. */
const FIRST_SLOWDOWN = 1.5;

/**
 * Weight of a lower slowdown; a higher one holds at once. Demand that has shifted shifts again
 * within seconds, and makes all streams late that a higher limit has let in.
 */
const FALL_WEIGHT = 0.05;

/**
 * Part of the worth of an answer on time that a late one has. Where even a single writing request
 * makes passes too long, more late answers are better than hardly any on time.
 */
const LATE_PART = 0.4;

/** Passes from sending a prompt to its first event. */
const PASSES_PER_PROMPT = 2;

/** Limit of one pool, for each of its engines. */
export class PassLimit extends EngineLimit {
  readonly #model: PassModel;

  readonly #slots: number;

  readonly #onChange: (slowdown: number) => void;

  #slowdown = FIRST_SLOWDOWN;

  #targetMs: number | undefined;

  /** Pauses since the last judgement, against what the model says of them. */
  #ratios: number[] = [];

  #judgedAtMs = 0;

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
    const evenMs = (AIM * this.#targetMs) / this.#slowdown;
    const onTime = Math.min(this.#slots, this.#model.solveWriters(evenMs, this.#readTokens));
    return this.#isWorthBeingOnTime(onTime) ? onTime : this.#slots;
  }

  override get isAverage(): boolean {
    return true;
  }

  override get promptsReading(): number {
    return (PASSES_PER_PROMPT * this.#readTokens) / this.#model.promptTokens;
  }

  /** The limit follows from the passes alone. */
  override noteBinding(): void {}

  override notePause({ pauseMs, targetMs, writers }: StreamPause, nowMs: number): void {
    this.#targetMs = targetMs;
    this.#ratios.push(pauseMs / this.#model.predictMs(writers, this.#readTokens));
    if (nowMs - this.#judgedAtMs >= JUDGE_MS) this.#judge(nowMs);
  }

  /** Prompt tokens that one engine may read in a pass. */
  get #readTokens(): number {
    const spanMs = (READ_PART * (this.#targetMs ?? 0)) / this.#slowdown;
    return this.#model.readTokens(spanMs);
  }

  /** Whether answers on time at a limit are worth more than late ones with all places taken. */
  #isWorthBeingOnTime(onTime: number): boolean {
    if (onTime < 1) return false;
    const readTokens = this.#readTokens;
    const onTimeRate = onTime / this.#model.predictMs(onTime, readTokens);
    const lateRate = this.#slots / this.#model.predictMs(this.#slots, readTokens);
    return onTimeRate > LATE_PART * lateRate;
  }

  #judge(nowMs: number): void {
    if (this.#ratios.length < SAMPLES_MIN) return;
    const sorted = this.#ratios.sort((a, b) => a - b);
    const slowdown = sorted[Math.floor(sorted.length * QUANTILE)] ?? this.#slowdown;
    const before = this.value;
    const weight = slowdown > this.#slowdown ? 1 : FALL_WEIGHT;
    this.#slowdown += weight * (slowdown - this.#slowdown);
    this.#ratios = [];
    this.#judgedAtMs = nowMs;
    if (Math.floor(this.value) !== Math.floor(before)) this.#onChange(this.#slowdown);
  }
}
