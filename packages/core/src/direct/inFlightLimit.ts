/** Limits the requests in flight at each engine of a pool. */

/** A pause between two events of a stream. */
export interface StreamPause {
  readonly pauseMs: number;
  /** Longest pause that counts as on time. */
  readonly targetMs: number;
  /** Mean number of requests in flight per engine at that time. */
  readonly decodingRequests: number;
}

export abstract class InFlightLimit {
  /** Limit of the requests in flight at one engine, from all entries. */
  abstract get value(): number;

  /**
   * Whether the limit applies to the mean over the pool, so that an engine may exceed it by one
   * request.
   */
  abstract get isPoolAverage(): boolean;

  /** Prefills that one engine may run at the same time, for all entries. */
  abstract get concurrentPrefills(): number;

  /** Records a pause between two events of a stream. */
  abstract notePause(pause: StreamPause, nowMs: number): void;

  /** Records that a request had to wait for the limit. */
  abstract noteLimitReached(): void;
}
