/**
 * Order in which requests that wait for a slot are served: those that can be on time first, then by
 * priority. Lower ranks are more urgent.
 */

/** Priorities are 0 to 9. */
const PRIORITIES = 10;

/** A count of 0 for each rank. */
export const NO_COUNTS: readonly number[] = new Array<number>(2 * PRIORITIES).fill(0);

/** What determines the rank of a request. */
export interface RankedRequest {
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Whether the request can no longer be on time. */
  readonly isLate: boolean;
}

export function readUrgencyRank({ priority, isLate }: RankedRequest): number {
  return Math.min(PRIORITIES - 1, priority) + (isLate ? PRIORITIES : 0);
}
