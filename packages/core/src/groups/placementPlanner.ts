/**
 * Plans which experts to move, by what it saves against what it costs.
 *
 * Each layer is planned by itself; the layers' plans then compete for the bytes of the round and
 * for the ranks' memory. Work is done in slices of one move, so that the loop is never blocked.
 */
import { findSlot } from './expertMap.js';
import { LayerPlanner, type LayerPlan, type PlanInput, type PlanOptions } from './layerPlanner.js';

export interface Plan {
  /** Slots of the new map; its version is taken when it is recorded. */
  readonly slots: readonly number[];
  readonly loads: number;
  readonly savedMsPerStep: number;
  /** Layers' time of a step before, by the measured load. */
  readonly stepMsBefore: number;
  readonly costMs: number;
}

/** Time saved for each load by a layer's best plan. */
function computeSavedMsPerLoad(plans: readonly LayerPlan[]): number {
  const best = plans[plans.length - 1];
  return best ? best.savedMs / Math.max(1, best.loads) : 0;
}

/** One round of planning, in slices. */
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

  /** Chooses among the layers' plans; undefined where nothing pays. */
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

  /** Takes the layers that save most for each load, each as far as the round's limits allow. */
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
