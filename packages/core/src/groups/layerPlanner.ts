/**
 * Plans the moves of one layer.
 *
 * Moves are applied one after the other, and the prefix with the largest net saving is kept. A
 * single move often saves nothing, because a second rank is as slow as the first.
 */
import { EMPTY_SLOT, findSlot, type ExpertMap } from './expertMap.js';
import type { ExpertTokens } from './expertLoad.js';
import { LayerBalance } from './layerBalance.js';

/** Input of a plan. */
export interface PlanInput {
  readonly map: ExpertMap;
  /** Tokens per step, by layer and expert. */
  readonly tokens: ExpertTokens;
  /** Speed of each rank; 1 is normal. */
  readonly speeds: readonly number[];
  /** Expert replicas that each rank can load beside those of the map in force. */
  readonly spareExperts: readonly number[];
}

export interface PlanOptions {
  /** Time of a rank at normal speed for one token at one expert. */
  readonly tokenMs: number;
  /** Number of steps within which the saved time has to exceed the cost. */
  readonly horizonSteps: number;
  /** Cost of loading one expert replica, as step time. */
  readonly loadCostMs: number;
  /** Stall during a switch, counted once per plan. */
  readonly stallMs: number;
  /** Least saving of a plan, as a share of the expert layers' step time. */
  readonly minSavedShare: number;
  /** Most expert replicas that a plan loads. */
  readonly maxLoads: number;
  /** Most moves tried in one layer. */
  readonly maxLayerMoves: number;
}

/** Result of the moves in one layer. */
export interface LayerPlan {
  readonly layer: number;
  readonly slots: Int16Array;
  /** Expert replicas that each rank loads. */
  readonly rankLoads: Int16Array;
  /** Expert replicas that all ranks load. */
  readonly loads: number;
  /** Time saved per step. */
  readonly savedMs: number;
  /** Time of the slowest rank in a step before the moves. */
  readonly slowestMs: number;
}

/** Counts the slots of a rank whose expert the rank did not hold before. */
function countNewExperts(
  before: Int16Array,
  after: Int16Array,
  start: number,
  slots: number,
): number {
  let count = 0;
  for (let slot = start; slot < start + slots; slot += 1) {
    const expert = after[slot] ?? EMPTY_SLOT;
    let isHeld = expert === EMPTY_SLOT;
    for (let old = start; old < start + slots; old += 1) isHeld ||= before[old] === expert;
    if (!isHeld) count += 1;
  }
  return count;
}

/** Plans one layer, one move per step. */
export class LayerPlanner {
  readonly #options: PlanOptions;

  readonly #slotsPerRank: number;

  readonly #before: Int16Array;

  readonly #balance: LayerBalance;

  readonly #slowestMs: number;

  /** Plans in order of rising net saving; the first one changes nothing. */
  readonly #plans: LayerPlan[];

  #bestNetSavedMs = 0;

  #moves = 0;

  #isDone = false;

  constructor(layer: number, input: PlanInput, options: PlanOptions) {
    const { map, tokens, speeds } = input;
    const { ranks, experts, slotsPerRank } = map.shape;
    const start = findSlot(map.shape, layer, 0);
    const layerTokens = tokens.subarray(layer * experts, (layer + 1) * experts);
    this.#options = options;
    this.#slotsPerRank = slotsPerRank;
    this.#before = Int16Array.from(map.slots.slice(start, start + ranks * slotsPerRank));
    this.#balance = new LayerBalance(map.shape, this.#before.slice(), layerTokens, speeds);
    this.#slowestMs = this.#balance.slowestTokens * options.tokenMs;
    const unchanged: LayerPlan = {
      layer,
      slots: this.#before,
      rankLoads: new Int16Array(ranks),
      loads: 0,
      savedMs: 0,
      slowestMs: this.#slowestMs,
    };
    this.#plans = [unchanged];
  }

  get isDone(): boolean {
    return this.#isDone;
  }

  /** Plans found so far, in order of rising net saving; the first one changes nothing. */
  get plans(): readonly LayerPlan[] {
    return this.#plans;
  }

  /** Tries one more move. */
  step(): void {
    const move = this.#balance.findMove();
    this.#moves += 1;
    this.#isDone = !move || this.#moves >= this.#options.maxLayerMoves;
    if (!move) return;
    this.#balance.apply(move);
    this.#addPlanIfBetter();
  }

  #addPlanIfBetter(): void {
    const { tokenMs, horizonSteps, loadCostMs } = this.#options;
    const { slots } = this.#balance;
    const [best] = this.#plans;
    if (!best) return;
    const savedMs = this.#slowestMs - this.#balance.slowestTokens * tokenMs;
    const rankLoads = best.rankLoads.map((_, rank) =>
      countNewExperts(this.#before, slots, rank * this.#slotsPerRank, this.#slotsPerRank),
    );
    const loads = rankLoads.reduce((sum, count) => sum + count, 0);
    const netSavedMs = savedMs * horizonSteps - loads * loadCostMs;
    if (netSavedMs <= this.#bestNetSavedMs) return;
    this.#plans.push({ ...best, slots: slots.slice(), rankLoads, loads, savedMs });
    this.#bestNetSavedMs = netSavedMs;
  }
}
