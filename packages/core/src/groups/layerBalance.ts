/**
 * Finds single moves that balance the ranks' times in one layer.
 *
 * The tokens of an expert are split evenly over its replicas. A layer ends when its slowest rank
 * ends, so only moves that take load off the slowest rank are considered: another replica of one of
 * its experts on another rank, or a swap with an expert of another rank.
 */
import { EMPTY_SLOT, type GroupShape } from './expertMap.js';

/** Experts to place in slots of the layer: one for a new replica, two for a swap. */
export interface SlotMove {
  readonly slots: readonly number[];
  readonly experts: readonly number[];
  /** Decrease of the sum of squared rank times. */
  readonly gain: number;
}

/** Gains below this part of the slowest rank's squared time count as none. */
const MIN_RELATIVE_GAIN = 1e-9;

/** Slots and load of one layer while it is planned. */
export class LayerBalance {
  /** Expert in each slot, by rank. */
  readonly slots: Int16Array;

  readonly #shape: GroupShape;

  readonly #tokens: Float64Array;

  /** Time per token of each rank, relative to a rank at normal speed. */
  readonly #slowness: Float64Array;

  readonly #replicas: Int16Array;

  /** Gain, mostly negative, on all ranks with an expert from removing one replica of it. */
  readonly #removalGains: Float64Array;

  /** Tokens per step that reach each rank. */
  readonly #load: Float64Array;

  /**
   * @param tokens tokens per step, by expert
   * @param speeds speed of each rank; 1 is normal
   */
  constructor(
    shape: GroupShape,
    slots: Int16Array,
    tokens: Float64Array,
    speeds: readonly number[],
  ) {
    this.#shape = shape;
    this.slots = slots;
    this.#tokens = tokens;
    this.#slowness = Float64Array.from(speeds, (speed) => 1 / speed);
    this.#replicas = new Int16Array(shape.experts);
    this.#removalGains = new Float64Array(shape.experts);
    this.#load = new Float64Array(shape.ranks);
    slots.forEach((expert) => {
      if (expert !== EMPTY_SLOT) this.#replicas[expert] = this.#countOf(expert) + 1;
    });
    slots.forEach((expert, slot) => {
      if (expert !== EMPTY_SLOT) this.#addLoad(this.#rankOf(slot), this.#shareOf(expert));
    });
  }

  /** Time of the slowest rank, in tokens at normal speed. */
  get slowestTokens(): number {
    return this.#timeOf(this.#findSlowest());
  }

  /** Time of each rank, in tokens at normal speed. */
  get rankTokens(): readonly number[] {
    return Array.from(this.#load, (_, rank) => this.#timeOf(rank));
  }

  /**
   * Finds the best move that takes load off the slowest rank; undefined if none helps.
   *
   * A swap loads two replicas, so its gain is compared per load.
   */
  findMove(): SlotMove | undefined {
    const rank = this.#findSlowest();
    this.#computeRemovalGains();
    let best: SlotMove = {
      slots: [],
      experts: [],
      gain: MIN_RELATIVE_GAIN * this.#timeOf(rank) ** 2,
    };
    let bestGain = best.gain;
    const start = rank * this.#shape.slotsPerRank;
    for (let from = start; from < start + this.#shape.slotsPerRank; from += 1) {
      const expert = this.#expertAt(from);
      const replicationGain = expert === EMPTY_SLOT ? 0 : this.#computeReplicationGain(expert);
      for (let to = 0; to < this.slots.length && expert !== EMPTY_SLOT; to += 1) {
        const gain = this.#computeReplicaMoveGain(expert, to, replicationGain);
        if (gain > bestGain && !this.#hasReplica(this.#rankOf(to), expert)) {
          best = { slots: [to], experts: [expert], gain };
          bestGain = gain;
        }
        const swapGain = this.#computeSwapGain(from, to);
        if (swapGain / 2 > bestGain && this.#canSwap(from, to)) {
          const slots = [from, to];
          best = { slots, experts: [this.#expertAt(to), expert], gain: swapGain };
          bestGain = swapGain / 2;
        }
      }
    }
    return best.slots.length > 0 ? best : undefined;
  }

  /** Applies a move to the slots and the load. */
  apply(move: SlotMove): void {
    const [slot = 0, other] = move.slots;
    const [expert = 0, otherExpert = 0] = move.experts;
    const old = this.#expertAt(slot);
    if (other !== undefined) {
      const change = this.#shareOf(expert) - this.#shareOf(old);
      this.#addLoad(this.#rankOf(slot), change);
      this.#addLoad(this.#rankOf(other), -change);
      this.slots[slot] = expert;
      this.slots[other] = otherExpert;
      return;
    }
    this.#dropLoads(expert);
    if (old !== EMPTY_SLOT) this.#dropLoads(old);
    this.slots[slot] = expert;
    this.#replicas[expert] = this.#countOf(expert) + 1;
    if (old !== EMPTY_SLOT) this.#replicas[old] = this.#countOf(old) - 1;
    this.#raiseLoads(expert);
    if (old !== EMPTY_SLOT) this.#raiseLoads(old);
  }

  /** Gain of a new replica in place of a slot's expert; 0 if that is its last replica. */
  #computeReplicaMoveGain(expert: number, to: number, replicationGain: number): number {
    const old = this.#expertAt(to);
    const target = this.#rankOf(to);
    if (old === expert) return 0;
    const share = this.#tokensOf(expert) / (this.#countOf(expert) + 1);
    if (old === EMPTY_SLOT) return replicationGain + this.#gainOf(target, share);
    if (this.#countOf(old) < 2) return 0;
    // Approximation: on ranks with both experts, which are rare, the changes count separately.
    const removalGain =
      (this.#removalGains[old] ?? 0) - this.#gainOf(target, this.#shareRiseOf(old));
    return replicationGain + removalGain + this.#gainOf(target, share - this.#shareOf(old));
  }

  /** Gain of a swap; 0 if it takes no load off the first slot's rank. */
  #computeSwapGain(from: number, to: number): number {
    const expert = this.#expertAt(from);
    const other = this.#expertAt(to);
    const rank = this.#rankOf(from);
    const target = this.#rankOf(to);
    if (rank === target || other === EMPTY_SLOT) return 0;
    const change = this.#shareOf(expert) - this.#shareOf(other);
    if (change <= 0) return 0;
    return this.#gainOf(rank, -change) + this.#gainOf(target, change);
  }

  #canSwap(from: number, to: number): boolean {
    const isHeld = this.#hasReplica(this.#rankOf(to), this.#expertAt(from));
    return !isHeld && !this.#hasReplica(this.#rankOf(from), this.#expertAt(to));
  }

  /** Gain on all ranks with an expert from adding one replica of it on another rank. */
  #computeReplicationGain(expert: number): number {
    const fall = this.#shareOf(expert) - this.#tokensOf(expert) / (this.#countOf(expert) + 1);
    let gain = 0;
    for (let slot = 0; slot < this.slots.length; slot += 1) {
      if (this.slots[slot] === expert) gain += this.#gainOf(this.#rankOf(slot), -fall);
    }
    return gain;
  }

  /** Computes the removal gain of each expert that has more than one replica. */
  #computeRemovalGains(): void {
    this.#removalGains.fill(0);
    for (let slot = 0; slot < this.slots.length; slot += 1) {
      const expert = this.#expertAt(slot);
      if (expert !== EMPTY_SLOT && this.#countOf(expert) > 1) {
        const gain = this.#gainOf(this.#rankOf(slot), this.#shareRiseOf(expert));
        this.#removalGains[expert] = (this.#removalGains[expert] ?? 0) + gain;
      }
    }
  }

  /** Increase of the tokens of each remaining replica when one replica is removed. */
  #shareRiseOf(expert: number): number {
    return this.#tokensOf(expert) / (this.#countOf(expert) - 1) - this.#shareOf(expert);
  }

  /** Decrease of a rank's squared time when its load changes. */
  #gainOf(rank: number, change: number): number {
    const slowness = this.#slowness[rank] ?? 1;
    const load = this.#load[rank] ?? 0;
    return -change * (2 * load + change) * slowness * slowness;
  }

  #dropLoads(expert: number): void {
    this.#changeLoads(expert, -this.#shareOf(expert));
  }

  #raiseLoads(expert: number): void {
    this.#changeLoads(expert, this.#shareOf(expert));
  }

  #changeLoads(expert: number, change: number): void {
    this.slots.forEach((held, slot) => {
      if (held === expert) this.#addLoad(this.#rankOf(slot), change);
    });
  }

  #findSlowest(): number {
    let slowest = 0;
    for (let rank = 1; rank < this.#load.length; rank += 1) {
      if (this.#timeOf(rank) > this.#timeOf(slowest)) slowest = rank;
    }
    return slowest;
  }

  #hasReplica(rank: number, expert: number): boolean {
    const start = rank * this.#shape.slotsPerRank;
    for (let slot = start; slot < start + this.#shape.slotsPerRank; slot += 1) {
      if (this.slots[slot] === expert) return true;
    }
    return false;
  }

  #rankOf(slot: number): number {
    return Math.floor(slot / this.#shape.slotsPerRank);
  }

  #expertAt(slot: number): number {
    return this.slots[slot] ?? EMPTY_SLOT;
  }

  #countOf(expert: number): number {
    return this.#replicas[expert] ?? 0;
  }

  #tokensOf(expert: number): number {
    return this.#tokens[expert] ?? 0;
  }

  #shareOf(expert: number): number {
    return this.#tokensOf(expert) / this.#countOf(expert);
  }

  #timeOf(rank: number): number {
    return (this.#load[rank] ?? 0) * (this.#slowness[rank] ?? 1);
  }

  #addLoad(rank: number, change: number): void {
    this.#load[rank] = (this.#load[rank] ?? 0) + change;
  }
}
