/** Bounds that all entries keep together; they come with the settings and may change. */
export interface FleetBounds {
  /** Retries allowed for each request. */
  readonly retryShare: number;
  readonly retryWindowMs: number;
  /** Retries of one pool in a window that are allowed beyond the share, over all entries. */
  readonly retryFloor: number;
  /** Factor on what a cold upstream bears in a second, over all entries. */
  readonly coldFactor: number;
  /** Requests a second that are allowed on top of that. */
  readonly coldAddition: number;
  /** Silence after which the platform no longer counts a process as in touch. */
  readonly contactMs: number;
  /** Time from the signal of a planned stop until the process is ended from outside. */
  readonly stopLimitMs: number;
}
