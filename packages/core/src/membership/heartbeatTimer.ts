/** Beats at the heartbeat interval, and notices when this process itself was paused. */

/** Heartbeat intervals after which this process itself must have been paused. */
const PAUSE_INTERVALS = 2;

/** @param isSilenceJudged false after a pause: an own one is no silence of the other ends */
export type BeatListener = (nowMs: number, isSilenceJudged: boolean) => void;

/** One timer for all links of a kind. */
export class HeartbeatTimer {
  readonly #intervalMs: number;

  readonly #onBeat: BeatListener;

  #timer: NodeJS.Timeout | undefined;

  #lastBeatMs = 0;

  constructor(intervalMs: number, onBeat: BeatListener) {
    this.#intervalMs = intervalMs;
    this.#onBeat = onBeat;
  }

  start(): void {
    this.#lastBeatMs = Date.now();
    this.#timer = setInterval(() => this.#beat(), this.#intervalMs);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #beat(): void {
    const nowMs = Date.now();
    const isSilenceJudged = nowMs - this.#lastBeatMs <= this.#intervalMs * PAUSE_INTERVALS;
    this.#lastBeatMs = nowMs;
    this.#onBeat(nowMs, isSilenceJudged);
  }
}
