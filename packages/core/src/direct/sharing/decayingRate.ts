/** Rate of events, with an exponential decay of older ones. */

/** Time after which an event counts for 1/e. */
const DECAY_MS = 1_000;

const MS_PER_SECOND = 1_000;

export class DecayingRate {
  #events = 0;

  #countedAtMs = Number.NEGATIVE_INFINITY;

  note(nowMs: number): void {
    this.#events = this.#read(nowMs) + 1;
    this.#countedAtMs = nowMs;
  }

  readPerS(nowMs: number): number {
    return (this.#read(nowMs) * MS_PER_SECOND) / DECAY_MS;
  }

  #read(nowMs: number): number {
    return this.#events * Math.exp((this.#countedAtMs - nowMs) / DECAY_MS);
  }
}
