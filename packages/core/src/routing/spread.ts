/**
 * Spreads expected attempts over upstreams so that their costs come out even.
 *
 * After Dahlin, "Interpreting stale load information" (1999): where a number of attempts is to come
 * before the costs are known anew, the cheapest upstreams take them up to a common level, and one
 * attempt goes to each with the probability of its part.
 */

/** One choice and what an attempt more adds to its cost. */
export interface Option {
  readonly costMs: number;
  readonly placeMs: number;
}

/** Rounds after which the level is taken as it is; it falls to its value in a few. */
const ROUNDS_MAX = 50;

/** Level of the options below a limit when they take all attempts. */
function lowerLevelMs(options: readonly Option[], attempts: number, limitMs: number): number {
  let taken = 0;
  let weight = 0;
  options.forEach(({ costMs, placeMs }) => {
    if (costMs >= limitMs) return;
    taken += costMs / placeMs;
    weight += 1 / placeMs;
  });
  return weight === 0 ? limitMs : (attempts + taken) / weight;
}

/** @returns cost up to which the options rise together when they take all attempts */
function findLevelMs(options: readonly Option[], attempts: number): number {
  let levelMs = Number.POSITIVE_INFINITY;
  for (let round = 0; round < ROUNDS_MAX; round += 1) {
    const lowerMs = lowerLevelMs(options, attempts, levelMs);
    if (lowerMs >= levelMs) return levelMs;
    levelMs = lowerMs;
  }
  return levelMs;
}

function drawBelow<T extends Option>(
  options: readonly T[],
  levelMs: number,
  attempts: number,
): T | undefined {
  let left = attempts;
  return options.find(({ costMs, placeMs }) => {
    left -= Math.max(0, (levelMs - costMs) / placeMs);
    return left < 0;
  });
}

function listCheapest<T extends Option>(options: readonly T[]): readonly T[] {
  const leastMs = Math.min(...options.map(({ costMs }) => costMs));
  return options.filter(({ costMs }) => costMs === leastMs);
}

/**
 * Draws the option for one attempt.
 *
 * @param attempts expected before costs are known anew; 0 yields one of the cheapest
 * @param draw random number from 0 up to, but not including, 1
 * @returns undefined where there is no option
 */
export function drawOption<T extends Option>(
  options: readonly T[],
  attempts: number,
  draw: number,
): T | undefined {
  const cheapest = listCheapest(options);
  const first = cheapest[Math.floor(draw * cheapest.length)];
  if (attempts <= 0) return first;
  return drawBelow(options, findLevelMs(options, attempts), draw * attempts) ?? first;
}
