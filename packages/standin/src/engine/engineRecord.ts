/** What happened in an engine, for checks after a run. */

/** Attempts remembered; the oldest are forgotten. */
const ATTEMPTS_KEPT = 200_000;

/** How often one attempt was started, and how each of its executions ended. */
export interface ExecutionCounts {
  started: number;
  completed: number;
  cancelled: number;
  failed: number;
}

/** A request that came while the engine was cold and full. */
export interface ColdViolation {
  readonly atMs: number;
  readonly inFlight: number;
  readonly limit: number;
  /** Time since the engine turned cold. */
  readonly sinceColdMs: number;
}

/** Executions by attempt, load while cold, and violations of the cold limit. */
export class EngineRecord {
  readonly #executions = new Map<string, ExecutionCounts>();

  readonly #violations: ColdViolation[] = [];

  #peakInFlight = 0;

  #peakInFlightCold = 0;

  count(attemptId: string, kind: keyof ExecutionCounts): void {
    const counts = this.#executions.get(attemptId) ?? {
      started: 0,
      completed: 0,
      cancelled: 0,
      failed: 0,
    };
    counts[kind] += 1;
    this.#executions.set(attemptId, counts);
    if (this.#executions.size > ATTEMPTS_KEPT) this.#forgetOldest();
  }

  noteInFlight(inFlight: number, isCold: boolean): void {
    this.#peakInFlight = Math.max(this.#peakInFlight, inFlight);
    if (isCold) this.#peakInFlightCold = Math.max(this.#peakInFlightCold, inFlight);
  }

  noteViolation(violation: ColdViolation): void {
    this.#violations.push(violation);
  }

  toJson(): Readonly<Record<string, unknown>> {
    return {
      executions: Object.fromEntries(this.#executions),
      peakInFlight: this.#peakInFlight,
      peakInFlightCold: this.#peakInFlightCold,
      violations: this.#violations,
    };
  }

  #forgetOldest(): void {
    const oldest = this.#executions.keys().next().value;
    if (oldest !== undefined) this.#executions.delete(oldest);
  }
}
