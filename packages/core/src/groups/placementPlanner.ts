/**
 * Plans which experts to move by weighing the saved step time against the cost of the loads.
 *
 * Each layer is planned independently; the layers' plans then compete for the load limit of the
 * round and for the ranks' spare memory. One call tries one move, so the event loop is not blocked.
 */
import { findSlot } from './expertMap.js';
import { LayerPlanner, type LayerPlan, type PlanInput, type PlanOptions } from './layerPlanner.js';

/** A new expert map with its expected gain and cost. */
export interface Plan {
  /** Slots of the new map; its version is assigned when the map is recorded. */
  readonly slots: readonly number[];
  /** Expert replicas to load. */
  readonly loads: number;
  readonly savedMsPerStep: number;
  /** Time of the expert layers in a step under the old map, computed from the measured load. */
  readonly stepMsBefore: number;
  /** Cost of the loads and of the stall during the switch. */
  readonly costMs: number;
}

/** Step time that a layer's best plan saves per loaded replica. */
function computeSavedMsPerLoad(plans: readonly LayerPlan[]): number {
  const best = plans[plans.length - 1];
  return best ? best.savedMs / Math.max(1, best.loads) : 0;
}

/** One round of planning, run incrementally. */
export class PlacementPlanner {
  readonly #input: PlanInput;

  readonly #options: PlanOptions;

  /** Plans of each layer, the best one last. */
  readonly #layerPlans: (readonly LayerPlan[])[] = [];

  #layerPlanner: LayerPlanner | undefined;

  constructor(input: PlanInput, options: PlanOptions) {
    this.#input = input;
    this.#options = options;
  }

  /** Whether all layers have been planned. */
  get isDone(): boolean {
    return this.#layerPlans.length === this.#input.map.shape.layers;
  }

  /** Tries one more move. */
  step(): void {
    if (this.isDone) return;
    this.#layerPlanner ??= new LayerPlanner(this.#layerPlans.length, this.#input, this.#options);
    this.#layerPlanner.step();
    if (!this.#layerPlanner.isDone) return;
    this.#layerPlans.push(this.#layerPlanner.plans);
    this.#layerPlanner = undefined;
  }

  /** Combines the layers' plans; undefined if the gain does not cover the cost. */
  finish(): Plan | undefined {
    const { stallMs, horizonSteps, minSavedShare } = this.#options;
    const chosen = this.#chooseLayers();
    const loads = chosen.reduce((sum, layer) => sum + layer.loads, 0);
    const savedMsPerStep = chosen.reduce((sum, layer) => sum + layer.savedMs, 0);
    const stepMsBefore = this.#layerPlans.reduce((sum, [plan]) => sum + (plan?.slowestMs ?? 0), 0);
    const costMs = loads * this.#options.loadCostMs + stallMs;
    if (savedMsPerStep * horizonSteps <= costMs) return undefined;
    if (savedMsPerStep < minSavedShare * stepMsBefore) return undefined;
    return { slots: this.#mergeSlots(chosen), loads, savedMsPerStep, stepMsBefore, costMs };
  }

  /** Greedily takes the layers that save most per load, each within the remaining limits. */
  #chooseLayers(): readonly LayerPlan[] {
    const spare = [...this.#input.spareExperts];
    let loadsLeft = this.#options.maxLoads;
    const layers = this.#layerPlans.filter((plans) => plans.length > 1);
    layers.sort((first, second) => computeSavedMsPerLoad(second) - computeSavedMsPerLoad(first));
    return layers.flatMap((plans) => {
      const fitting = plans.filter(
        (plan) =>
          plan.loads <= loadsLeft &&
          plan.rankLoads.every((count, rank) => count <= (spare[rank] ?? 0)),
      );
      const chosen = fitting[fitting.length - 1];
      if (!chosen || chosen.loads === 0) return [];
      chosen.rankLoads.forEach((count, rank) => {
        spare[rank] = (spare[rank] ?? 0) - count;
      });
      loadsLeft -= chosen.loads;
      return [chosen];
    });
  }

  #mergeSlots(chosen: readonly LayerPlan[]): readonly number[] {
    const { map } = this.#input;
    const slots = [...map.slots];
    chosen.forEach((layer) => {
      const start = findSlot(map.shape, layer.layer, 0);
      layer.slots.forEach((expert, index) => {
        slots[start + index] = expert;
      });
    });
    return slots;
  }
}
