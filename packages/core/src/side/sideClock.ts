/** The side process's own clock: it only rises, and starts anew with each process. */

/** Reads the clock in milliseconds; comparable within one process only. */
export function readClockMs(): number {
  return performance.now();
}
