/** Monotonic clock of the side process; starts from zero in each process. */

/** Current reading in milliseconds; comparable within one process only. */
export function readClockMs(): number {
  return performance.now();
}
