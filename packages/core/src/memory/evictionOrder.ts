/** Decides whose request ends first when memory runs out. */

/** Time without progress after which a caller counts as stopped, in milliseconds. */
export const STOPPED_MS = 250;

/** How far a caller has got with what it sends or reads. */
export interface CallerProgress {
  /** Time since the caller last sent or read bytes; 0 while the entry itself holds it back. */
  readonly idleMs: number;
  /** Part of the declared body that has arrived; 1 if it is complete. */
  readonly arrivedFraction: number;
}

function isStopped({ idleMs }: CallerProgress): boolean {
  return idleMs > STOPPED_MS;
}

/**
 * Compares two requests; the one that is evicted first comes first: callers that have stopped, the
 * one that has been idle longest first, then those that have sent least of what they declared.
 */
export function compareForEviction(a: CallerProgress, b: CallerProgress): number {
  if (isStopped(a) !== isStopped(b)) return isStopped(a) ? -1 : 1;
  if (isStopped(a)) return b.idleMs - a.idleMs;
  return a.arrivedFraction - b.arrivedFraction;
}
