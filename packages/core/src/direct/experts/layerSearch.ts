/**
 * Searches for a placement of one layer's experts that lowers the load of the most loaded rank.
 *
 * Local search from the placement in force: a move removes a replica, replaces it by another
 * expert, or swaps one expert each between two ranks. A move is kept if it lowers the cost: the
 * most loaded rank's share, averaged over all samples, plus a cost per copied expert. The number of
 * experts that a rank may copy is limited.
 */
import type { Random } from '../../ports/random.js';

export interface LayerSearchInput {
  /** Experts of each rank in the map in force. */
  readonly placement: readonly (readonly number[])[];
  /** Number of experts of the layer. */
  readonly experts: number;
  readonly slotsPerRank: number;
  /** Maximum number of experts that a rank may copy. */
  readonly copiesPerRankMax: number;
  /** Choices of each expert, for each sample. */
  readonly samples: readonly Float64Array[];
  /** Time that each rank takes for its work, relative to a healthy rank. */
  readonly paces: readonly number[];
  readonly random: Random;
}

/** Reduction of the skew that one copied expert has to bring. */
const COPY_COST = 0.035;

/** Fraction of the moves that remove a replica. */
const DROP_FRACTION = 0.1;

/** Fraction of the moves that replace a replica by another expert. */
const REPLACE_FRACTION = 0.45;

/** Minimum gain of a move; smaller gains are rounding errors. */
const GAIN_MIN = 1e-6;

/** Consecutive moves without gain after which the search ends. */
const FAILED_MOVES_MAX = 700;

/** A change of one slot of a rank. */
interface SlotChange {
  readonly rank: number;
  readonly added: number | undefined;
  readonly removed: number | undefined;
}

/** Search over one layer, one move per step. */
export class LayerSearch {
  readonly #input: LayerSearchInput;

  /** Experts of each rank in the current placement. */
  readonly #expertsByRank: number[][];

  /** Experts of each rank in the map in force. */
  readonly #initialExperts: readonly ReadonlySet<number>[];

  /** Ranks that hold each expert. */
  readonly #ranksByExpert: number[][];

  readonly #copiesByRank: number[];

  /** Choices that each rank has to serve, by sample, then rank. */
  readonly #loads: Float64Array[];

  readonly #totals: readonly number[];

  #cost: number;

  #failedMoves = 0;

  constructor(input: LayerSearchInput) {
    this.#input = input;
    this.#expertsByRank = input.placement.map((experts) => [...experts]);
    this.#initialExperts = input.placement.map((experts) => new Set(experts));
    this.#ranksByExpert = Array.from({ length: input.experts }, () => []);
    this.#expertsByRank.forEach((experts, rank) => {
      experts.forEach((expert) => this.#ranksByExpert[expert]?.push(rank));
    });
    this.#copiesByRank = this.#expertsByRank.map(() => 0);
    this.#totals = input.samples.map((sample) => sample.reduce((sum, count) => sum + count, 0));
    this.#loads = input.samples.map(() => new Float64Array(this.#expertsByRank.length));
    this.#ranksByExpert.forEach((_, expert) => this.#addLoad(expert, 1));
    this.#cost = this.#computeCost();
  }

  /** Load of the most loaded rank relative to the mean load, averaged over the samples. */
  get skew(): number {
    return this.#computeSkew();
  }

  /** Experts that the ranks would have to copy. */
  get copies(): number {
    return this.#copiesByRank.reduce((sum, count) => sum + count, 0);
  }

  get isDone(): boolean {
    return this.#input.samples.length === 0 || this.#failedMoves >= FAILED_MOVES_MAX;
  }

  get placement(): readonly (readonly number[])[] {
    return this.#expertsByRank;
  }

  /** Tries one random move. */
  step(): void {
    const draw = this.#input.random.next();
    const isBetter = this.#tryMove(draw);
    this.#failedMoves = isBetter ? 0 : this.#failedMoves + 1;
  }

  #tryMove(draw: number): boolean {
    if (draw < DROP_FRACTION) return this.#tryDrop();
    return draw < DROP_FRACTION + REPLACE_FRACTION ? this.#tryReplace() : this.#trySwap();
  }

  /** Removes a replica, as a slow rank may do better with fewer experts. */
  #tryDrop(): boolean {
    const { random } = this.#input;
    const rank = random.nextInt(this.#expertsByRank.length);
    const held = this.#expertsByRank[rank] ?? [];
    const removed = held[random.nextInt(held.length)];
    if (removed === undefined || (this.#ranksByExpert[removed]?.length ?? 0) < 2) return false;
    return this.#tryChange([{ rank, added: undefined, removed }]);
  }

  /** Replaces one expert of a rank by another one, or fills a free slot. */
  #tryReplace(): boolean {
    const { random, experts, slotsPerRank } = this.#input;
    const rank = random.nextInt(this.#expertsByRank.length);
    const added = random.nextInt(experts);
    const held = this.#expertsByRank[rank] ?? [];
    if (held.includes(added)) return false;
    const isFree = held.length < slotsPerRank;
    const removed = isFree ? undefined : held[random.nextInt(held.length)];
    const isLastReplica = removed !== undefined && (this.#ranksByExpert[removed]?.length ?? 0) < 2;
    if (isLastReplica) return false;
    return this.#tryChange([{ rank, added, removed }]);
  }

  /** Swaps one expert each between two ranks. */
  #trySwap(): boolean {
    const { random } = this.#input;
    const one = random.nextInt(this.#expertsByRank.length);
    const other = random.nextInt(this.#expertsByRank.length);
    const ofOne = this.#expertsByRank[one] ?? [];
    const ofOther = this.#expertsByRank[other] ?? [];
    const fromOne = ofOne[random.nextInt(ofOne.length)];
    const fromOther = ofOther[random.nextInt(ofOther.length)];
    if (one === other || fromOne === undefined || fromOther === undefined) return false;
    if (ofOne.includes(fromOther) || ofOther.includes(fromOne)) return false;
    return this.#tryChange([
      { rank: one, added: fromOther, removed: fromOne },
      { rank: other, added: fromOne, removed: fromOther },
    ]);
  }

  /** Applies changes, and reverts them if they gain nothing or exceed the copies per rank. */
  #tryChange(changes: readonly SlotChange[]): boolean {
    const touched = changes.flatMap(({ added, removed }) =>
      [added, removed].filter((expert) => expert !== undefined),
    );
    const experts = [...new Set(touched)];
    this.#applyChanges(changes, experts);
    const isAllowed = changes.every(
      ({ rank }) => (this.#copiesByRank[rank] ?? 0) <= this.#input.copiesPerRankMax,
    );
    const cost = isAllowed ? this.#computeCost() : Number.POSITIVE_INFINITY;
    if (cost < this.#cost - GAIN_MIN) {
      this.#cost = cost;
      return true;
    }
    const inverse = [...changes].reverse().map(({ rank, added, removed }) => ({
      rank,
      added: removed,
      removed: added,
    }));
    this.#applyChanges(inverse, experts);
    return false;
  }

  #applyChanges(changes: readonly SlotChange[], experts: readonly number[]): void {
    experts.forEach((expert) => this.#addLoad(expert, -1));
    changes.forEach((change) => this.#applyChange(change));
    experts.forEach((expert) => this.#addLoad(expert, 1));
  }

  #applyChange({ rank, added, removed }: SlotChange): void {
    const held = this.#expertsByRank[rank] ?? [];
    const original = this.#initialExperts[rank];
    if (removed !== undefined) {
      held.splice(held.indexOf(removed), 1);
      const ranks = this.#ranksByExpert[removed] ?? [];
      ranks.splice(ranks.indexOf(rank), 1);
      if (!original?.has(removed)) this.#copiesByRank[rank] = (this.#copiesByRank[rank] ?? 0) - 1;
    }
    if (added === undefined) return;
    held.push(added);
    this.#ranksByExpert[added]?.push(rank);
    if (!original?.has(added)) this.#copiesByRank[rank] = (this.#copiesByRank[rank] ?? 0) + 1;
  }

  /** Adds an expert's load to its ranks, or subtracts it; replicas share it equally. */
  #addLoad(expert: number, sign: 1 | -1): void {
    const ranks = this.#ranksByExpert[expert] ?? [];
    this.#input.samples.forEach((sample, at) => {
      const loads = this.#loads[at];
      const part = (sign * (sample[expert] ?? 0)) / ranks.length;
      if (!loads || part === 0) return;
      ranks.forEach((rank) => {
        loads[rank] = (loads[rank] ?? 0) + part;
      });
    });
  }

  /** Skew plus the cost of all copies. */
  #computeCost(): number {
    return this.#computeSkew() + this.copies * COPY_COST;
  }

  #computeSkew(): number {
    const { paces } = this.#input;
    const ranks = this.#expertsByRank.length;
    let sum = 0;
    for (let at = 0; at < this.#loads.length; at += 1) {
      const loads = this.#loads[at];
      let most = 0;
      for (let rank = 0; loads && rank < ranks; rank += 1) {
        most = Math.max(most, (loads[rank] ?? 0) * (paces[rank] ?? 1));
      }
      sum += (most * ranks) / Math.max(1, this.#totals[at] ?? 1);
    }
    return this.#loads.length > 0 ? sum / this.#loads.length : 1;
  }
}
