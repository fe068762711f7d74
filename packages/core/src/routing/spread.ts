/**
 * Spreads expected attempts over upstreams so that their costs become equal (water-filling).
 *
 * Follows Dahlin, "Interpreting stale load information" (1999): the attempts expected before the
 * next load reports raise the cheapest upstreams to a common cost level. Each upstream is chosen
 * with a probability equal to its share of these attempts.
 */

/** An option to draw from, such as an upstream. */
export interface SpreadOption {
  readonly costMs: number;
  /** Cost that one more attempt adds. */
  readonly marginalMs: number;
}

/** Upper bound of the iterations that find the common level; a few are usually enough. */
const ROUNDS_MAX = 50;

/** Computes the common cost of the options below a limit after they take all attempts. */
function computeLevelMs(
  options: readonly SpreadOption[],
  attempts: number,
  limitMs: number,
): number {
  let taken = 0;
  let weight = 0;
  options.forEach(({ costMs, marginalMs }) => {
    if (costMs >= limitMs) return;
    taken += costMs / marginalMs;
    weight += 1 / marginalMs;
  });
  return weight === 0 ? limitMs : (attempts + taken) / weight;
}

/** Finds the common cost to which the attempts raise the cheapest options. */
function findLevelMs(options: readonly SpreadOption[], attempts: number): number {
  let levelMs = Number.POSITIVE_INFINITY;
  for (let round = 0; round < ROUNDS_MAX; round += 1) {
    const lowerMs = computeLevelMs(options, attempts, levelMs);
    if (lowerMs >= levelMs) return levelMs;
    levelMs = lowerMs;
  }
  return levelMs;
}

/** Draws an option with a probability equal to its share of the attempts. */
function drawByShare<T extends SpreadOption>(
  options: readonly T[],
  levelMs: number,
  attempts: number,
): T | undefined {
  let remaining = attempts;
  return options.find(({ costMs, marginalMs }) => {
    remaining -= Math.max(0, (levelMs - costMs) / marginalMs);
    return remaining < 0;
  });
}

function listCheapest<T extends SpreadOption>(options: readonly T[]): readonly T[] {
  const leastMs = Math.min(...options.map(({ costMs }) => costMs));
  return options.filter(({ costMs }) => costMs === leastMs);
}

/**
 * Draws the option for one attempt.
 *
 * @param attempts expected before the costs are updated; 0 draws one of the cheapest options
 * @param draw random number in [0, 1)
 * @returns undefined if there are no options
 */
export function drawOption<T extends SpreadOption>(
  options: readonly T[],
  attempts: number,
  draw: number,
): T | undefined {
  const cheapest = listCheapest(options);
  const first = cheapest[Math.floor(draw * cheapest.length)];
  if (attempts <= 0) return first;
  return drawByShare(options, findLevelMs(options, attempts), draw * attempts) ?? first;
}
