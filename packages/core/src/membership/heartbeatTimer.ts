/** Beats at the heartbeat interval, and notices when this process itself was paused. */

/** Heartbeat intervals after which this process itself must have been paused. */
const PAUSE_INTERVALS = 2;

/** @param isSilenceJudged false after a pause: an own one is no silence of the other ends */
export type HeartbeatListener = (nowMs: number, isSilenceJudged: boolean) => void;

/** One timer for all links of a kind. */
export class HeartbeatTimer {
  readonly #intervalMs: number;

  readonly #onHeartbeat: HeartbeatListener;

  #timer: NodeJS.Timeout | undefined;

  #lastTickAtMs = 0;

  constructor(intervalMs: number, onBeat: HeartbeatListener) {
    this.#intervalMs = intervalMs;
    this.#onHeartbeat = onBeat;
  }

  start(): void {
    this.#lastTickAtMs = Date.now();
    this.#timer = setInterval(() => this.#tick(), this.#intervalMs);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #tick(): void {
    const nowMs = Date.now();
    const isSilenceJudged = nowMs - this.#lastTickAtMs <= this.#intervalMs * PAUSE_INTERVALS;
    this.#lastTickAtMs = nowMs;
    this.#onHeartbeat(nowMs, isSilenceJudged);
  }
}
