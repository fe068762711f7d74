/**
 * Assigns each pass to the one entry that may hold it.
 *
 * The entry with the lowest name coordinates the maps, and has to wait for a pass that it owns.
 * With equal shares of 17 entries that took eight passes (half a second) on average, so the first
 * entries own most passes.
 */

/** Entries that each own half of the passes left by those before; the others share the rest. */
const PREFERRED_ENTRIES = 3;

/**
 * Whether an entry owns a pass.
 *
 * @param step number of the pass
 * @param index position of the entry in the sorted list of all entries
 * @param count number of entries
 */
export function isPassOwner(step: number, index: number, count: number): boolean {
  const preferred = Math.min(PREFERRED_ENTRIES, count - 1);
  let quotient = step;
  for (let owner = 0; owner < preferred; owner += 1) {
    if (quotient % 2 === 1) return owner === index;
    quotient /= 2;
  }
  return quotient % (count - preferred) === index - preferred;
}

/** Finds the first pass that an entry owns, from `earliestStep` on. */
export function findOwnedPass(earliestStep: number, index: number, count: number): number {
  let step = earliestStep;
  while (!isPassOwner(step, index, count)) step += 1;
  return step;
}
