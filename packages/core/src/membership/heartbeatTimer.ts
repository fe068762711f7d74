/** Ticks at the heartbeat interval, and detects when this process itself was paused. */

/** Gap between two ticks, in heartbeat intervals, from which this process counts as paused. */
const PAUSE_INTERVALS = 2;

/** @param isSilenceChecked false after a pause of this process, in which it received nothing */
export type HeartbeatListener = (nowMs: number, isSilenceChecked: boolean) => void;

/** Heartbeat timer that all links of one kind share. */
export class HeartbeatTimer {
  readonly #intervalMs: number;

  readonly #onHeartbeat: HeartbeatListener;

  #timer: NodeJS.Timeout | undefined;

  #lastTickAtMs = 0;

  constructor(intervalMs: number, onHeartbeat: HeartbeatListener) {
    this.#intervalMs = intervalMs;
    this.#onHeartbeat = onHeartbeat;
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
    const isSilenceChecked = nowMs - this.#lastTickAtMs <= this.#intervalMs * PAUSE_INTERVALS;
    this.#lastTickAtMs = nowMs;
    this.#onHeartbeat(nowMs, isSilenceChecked);
  }
}
