/** Records executions and cold-limit violations of an engine, for checks after a run. */

/** Number of attempts kept; the oldest is evicted first. */
const MAX_ATTEMPTS = 200_000;

/** How often one attempt was started, and how its executions ended. */
export interface ExecutionCounts {
  started: number;
  completed: number;
  cancelled: number;
  failed: number;
}

/** A request that arrived while the cold engine was at its limit. */
export interface ColdViolation {
  readonly atMs: number;
  /** Requests in flight, including the one above the limit. */
  readonly inFlight: number;
  readonly limit: number;
  /** Time since the engine turned cold. */
  readonly sinceColdMs: number;
}

/** Executions by attempt, peak number of requests in flight, and violations of the cold limit. */
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
    if (this.#executions.size > MAX_ATTEMPTS) this.#evictOldest();
  }

  recordInFlight(inFlight: number, isCold: boolean): void {
    this.#peakInFlight = Math.max(this.#peakInFlight, inFlight);
    if (isCold) this.#peakInFlightCold = Math.max(this.#peakInFlightCold, inFlight);
  }

  recordViolation(violation: ColdViolation): void {
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

  #evictOldest(): void {
    const oldest = this.#executions.keys().next().value;
    if (oldest !== undefined) this.#executions.delete(oldest);
  }
}
