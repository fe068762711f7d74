/**
 * Plans the moves of one layer.
 *
 * Moves are tried one after the other, and as many of them are kept as pay best together: a single
 * move often gains nothing as long as a second rank is as slow as the first.
 */
import { EMPTY_SLOT, findSlot, type ExpertMap } from './expertMap.js';
import type { ExpertTokens } from './expertLoad.js';
import { LayerBalance } from './layerBalance.js';

/** What a plan is made from. */
export interface PlanInput {
  readonly map: ExpertMap;
  /** Tokens of a step, by layer and expert. */
  readonly tokens: ExpertTokens;
  /** Speed of each rank; 1 where it is as fast as it should be. */
  readonly speeds: readonly number[];
  /** Expert replicas that each rank can load beside those in force. */
  readonly spareExperts: readonly number[];
}

export interface PlanOptions {
  /** Time of a rank for one token at one expert. */
  readonly tokenMs: number;
  /** Steps over which a move has to pay. */
  readonly horizonSteps: number;
  /** Saved time that one loaded expert has to be worth. */
  readonly loadCostMs: number;
  /** Stall of a switch, paid once a plan. */
  readonly stallMs: number;
  /** Part of the layers' time that a plan saves at least. */
  readonly minSavedShare: number;
  readonly maxLoads: number;
  /** Moves tried in one layer. */
  readonly maxLayerMoves: number;
}

/** What the moves of one layer bring. */
export interface LayerPlan {
  readonly layer: number;
  readonly slots: Int16Array;
  /** Loads of each rank. */
  readonly rankLoads: Int16Array;
  readonly loads: number;
  readonly savedMs: number;
  /** Time of the slowest rank before. */
  readonly slowestMs: number;
}

/** Slots of the rank that hold an expert which the rank did not hold before. */
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

/** Tries moves in one layer. */
export class LayerPlanner {
  readonly #options: PlanOptions;

  readonly #slotsPerRank: number;

  readonly #before: Int16Array;

  readonly #balance: LayerBalance;

  readonly #slowestMs: number;

  /** Plans that are each worth more than the one before; the first one changes nothing. */
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

  /** Plans found so far, the best one last and smaller ones before it. */
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
