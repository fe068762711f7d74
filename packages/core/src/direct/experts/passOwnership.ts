/**
 * Which passes an entry may hold: no pass is two entries' own.
 *
 * Entries give maps in the order of their names, and each waits for a pass of its own. With equal
 * parts of 17 entries that took eight passes on average, half a second; so the first ones own most.
 */

/** Entries that own half of the passes that those before them leave; the others share the rest. */
const PREFERRED_ENTRIES = 3;

/**
 * Whether a pass is an entry's own.
 *
 * @param index place of the entry among all, in the order of their names
 * @param count entries that there are
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

/** The first pass from one on that is an entry's own. */
export function findOwnedPass(earliestStep: number, index: number, count: number): number {
  let step = earliestStep;
  while (!isPassOwner(step, index, count)) step += 1;
  return step;
}
