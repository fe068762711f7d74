/** Records what a plain service executed, for checks after a run. */

function increment(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}

/** Counts executions by attempt and by request, and reads and refusals in total. */
export class PlainRecord {
  readonly #byAttempt = new Map<string, number>();

  readonly #byRequest = new Map<string, number>();

  #reads = 0;

  #refused = 0;

  /** Counts one execution with an effect. */
  countExecution(attemptId: string, requestId: string): void {
    increment(this.#byAttempt, attemptId);
    increment(this.#byRequest, requestId);
  }

  countRead(): void {
    this.#reads += 1;
  }

  countRefusal(): void {
    this.#refused += 1;
  }

  toJson(): Readonly<Record<string, unknown>> {
    return {
      byAttempt: Object.fromEntries(this.#byAttempt),
      byRequest: Object.fromEntries(this.#byRequest),
      reads: this.#reads,
      refused: this.#refused,
    };
  }
}
