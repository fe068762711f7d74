/** Sum of recent amounts, each of which decays exponentially. */
export class DecayingCount {
  readonly #decayMs: number;

  #sum = 0;

  #addedAtMs = 0;

  /** @param decayMs time after which an amount counts for 1/e */
  constructor(decayMs: number) {
    this.#decayMs = decayMs;
  }

  add(amount: number, nowMs: number): void {
    this.#sum = this.read(nowMs) + amount;
    this.#addedAtMs = nowMs;
  }

  read(nowMs: number): number {
    return this.#sum * Math.exp((this.#addedAtMs - nowMs) / this.#decayMs);
  }
}
