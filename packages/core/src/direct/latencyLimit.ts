/**
 * How many requests each engine of a pool works on at a time, from the pauses that callers see.
 *
 * Answers the load pattern of more streams than the engines can keep on time: an engine with all
 * places taken makes every stream late, so the limit falls while too many pauses near their target
 * and rises, while it binds, as long as few do.
 */

/** Interval between two judgements; some events of every stream fall into it. */
const JUDGE_MS = 500;

/** Pauses from which a share of them means something. */
const SAMPLES_MIN = 20;

/** Part of the target from which a pause counts as long. */
const LONG_PART = 0.85;

/** Share of long pauses above which the limit falls; a stream has about thirty pauses. */
const LONG_SHARE_MAX = 0.03;

/** Share of long pauses below which the limit may rise. */
const LONG_SHARE_CALM = 0.01;

/** Factor by which the limit falls, as in AIMD. */
const FALL = 0.93;

/** Step by which it rises. */
const RISE = 0.25;

/** Part of the places that is used whatever the pauses are. */
const FLOOR_PART = 0.5;

/** Part of the places that is used at first. */
const START_PART = 0.75;

/** Limit of one pool, for each of its engines. */
export class LatencyLimit {
  readonly #slots: number;

  #value: number;

  #pauses = 0;

  #longPauses = 0;

  #isBinding = false;

  #judgedAtMs = 0;

  /** @param slots requests that one engine works on at the same time */
  constructor(slots: number) {
    this.#slots = slots;
    this.#value = slots * START_PART;
  }

  /** Requests in flight at one engine, from all entries. */
  get value(): number {
    return this.#value;
  }

  /** Notes that a request had to wait for the limit. */
  noteBinding(): void {
    this.#isBinding = true;
  }

  /** Takes in a pause between two events of a stream, or before the first one. */
  notePause(pauseMs: number, targetMs: number, nowMs: number): void {
    this.#pauses += 1;
    if (pauseMs > targetMs * LONG_PART) this.#longPauses += 1;
    if (nowMs - this.#judgedAtMs >= JUDGE_MS) this.#judge(nowMs);
  }

  #judge(nowMs: number): void {
    if (this.#pauses < SAMPLES_MIN) return;
    const share = this.#longPauses / this.#pauses;
    if (share > LONG_SHARE_MAX) this.#value *= FALL;
    else if (share < LONG_SHARE_CALM && this.#isBinding) this.#value += RISE;
    this.#value = Math.min(this.#slots, Math.max(this.#slots * FLOOR_PART, this.#value));
    this.#pauses = 0;
    this.#longPauses = 0;
    this.#isBinding = false;
    this.#judgedAtMs = nowMs;
  }
}
