/** Weighted max-min fairness by water-filling. */

export interface Demand {
  readonly demand: number;
  readonly weight: number;
  /** Part of the demand that is met whatever the level. */
  readonly floor: number;
}

/** Solves the level without regard to floors. */
function solveFreely(demands: readonly Demand[], capacity: number): number {
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

/**
 * Finds the capacity per unit of weight that the demands get which are not met in full, and whose
 * floor is lower; infinite where all demands are met.
 */
export function solveWaterLevel(demands: readonly Demand[], capacity: number): number {
  let free = demands;
  let restCapacity = capacity;
  for (;;) {
    const level = solveFreely(free, restCapacity);
    const isOnFloor = ({ floor, weight }: Demand): boolean => floor > level * weight;
    const onFloor = free.filter(isOnFloor);
    if (onFloor.length === 0) return level;
    restCapacity -= onFloor.reduce((sum, { floor }) => sum + floor, 0);
    free = free.filter((each) => !isOnFloor(each));
  }
}
