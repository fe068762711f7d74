/** How many requests each engine of a pool works on at a time. */

/** A pause between two events of a stream. */
export interface StreamPause {
  readonly pauseMs: number;
  /** Longest pause that is on time. */
  readonly targetMs: number;
  /** Requests in flight at each engine then, on average. */
  readonly decodingRequests: number;
}

export abstract class InFlightLimit {
  /** Requests in flight at one engine, from all entries. */
  abstract get value(): number;

  /** Whether it holds on average: an engine may have a request more than another one. */
  abstract get isPoolAverage(): boolean;

  /** Prompts that one engine reads at a time, from all entries. */
  abstract get concurrentPrefills(): number;

  /** Takes in a pause between two events of a stream. */
  abstract notePause(pause: StreamPause, nowMs: number): void;

  /** Notes that a request had to wait for the limit. */
  abstract noteLimitReached(): void;
}
