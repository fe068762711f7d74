/** Weighted max-min fairness by water-filling. */

export interface Demand {
  readonly demand: number;
  readonly weight: number;
}

/**
 * Finds the capacity per unit of weight that the demands get which are not met in full; infinite
 * where all of them are met.
 */
export function solveWaterLevel(demands: readonly Demand[], capacity: number): number {
  const sorted = [...demands].sort((a, b) => a.demand / a.weight - b.demand / b.weight);
  let restCapacity = capacity;
  let restWeight = sorted.reduce((sum, { weight }) => sum + weight, 0);
  const unmet = sorted.find(({ demand, weight }) => {
    if (demand * restWeight > restCapacity * weight) return true;
    restCapacity -= demand;
    restWeight -= weight;
    return false;
  });
  return unmet ? Math.max(0, restCapacity) / restWeight : Number.POSITIVE_INFINITY;
}
