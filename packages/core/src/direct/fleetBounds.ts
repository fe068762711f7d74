/**
 * Limits that all entries observe together. They are part of the settings and can change at run
 * time.
 */
export interface FleetBounds {
  /** Retries allowed per request. */
  readonly retryShare: number;
  readonly retryWindowMs: number;
  /** Retries per pool and window that are allowed beyond the share, for all entries together. */
  readonly retryFloor: number;
  /** Factor on the requests per second that a cold upstream can take, for all entries together. */
  readonly coldFactor: number;
  /** Requests per second that are allowed in addition to that. */
  readonly coldAddition: number;
  /** Time without contact, in milliseconds, after which the platform counts a process as lost. */
  readonly contactMs: number;
  /** Time in milliseconds from the signal of a planned stop until the process is killed. */
  readonly stopLimitMs: number;
}
