/**
 * Searches a placement of one layer's experts that keeps the most loaded rank of each sample low.
 *
 * Local search from the placement in force: a replica is taken away or gives its place to another
 * expert, or two ranks swap one expert each. A move is kept where the sum over all samples of the
 * most loaded rank's part falls. Ranks copy only so many experts that are new to them.
 */
import type { Random } from '../../ports/random.js';

export interface LayerSearchInput {
  /** Experts of each rank in force. */
  readonly placement: readonly (readonly number[])[];
  readonly experts: number;
  readonly slotsPerRank: number;
  /** Experts that a rank may copy at most. */
  readonly copiesPerRankMax: number;
  /** Choices by expert, for each sample. */
  readonly samples: readonly Float64Array[];
  /** Time that each rank takes for its work against a sound one. */
  readonly paces: readonly number[];
  readonly random: Random;
}

/** Load of the most loaded rank, against the mean, that one copied expert has to save. */
const COPY_COST = 0.035;

/** Parts of the moves that take a replica away, and that give its place to another expert. */
const DROP_FRACTION = 0.1;
const REPLACE_FRACTION = 0.45;

/** Gain below which a move is only rounding. */
const GAIN_MIN = 1e-6;

/** Moves without gain after which the search ends. */
const FAILED_MOVES_MAX = 700;

/** One place of a rank that changes hands. */
interface SlotChange {
  readonly rank: number;
  readonly added: number | undefined;
  readonly removed: number | undefined;
}

/** Search over one layer, in steps of one move. */
export class LayerSearch {
  readonly #input: LayerSearchInput;

  /** Experts of each rank. */
  readonly #expertsByRank: number[][];

  /** Whether a rank holds an expert in force, by rank and expert. */
  readonly #initialExperts: readonly ReadonlySet<number>[];

  /** Ranks of each expert. */
  readonly #ranksByExpert: number[][];

  readonly #copiesByRank: number[];

  /** Share of the sample's choices on each rank, by sample, then rank. */
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

  /** Mean over the samples of the most loaded rank's part, against the mean rank's. */
  get skew(): number {
    return this.#computeSkew();
  }

  /** Experts that ranks would have to copy. */
  get copies(): number {
    return this.#copiesByRank.reduce((sum, count) => sum + count, 0);
  }

  get isDone(): boolean {
    return this.#input.samples.length === 0 || this.#failedMoves >= FAILED_MOVES_MAX;
  }

  get placement(): readonly (readonly number[])[] {
    return this.#expertsByRank;
  }

  /** Tries one move. */
  step(): void {
    const draw = this.#input.random.next();
    const isBetter = this.#tryMove(draw);
    this.#failedMoves = isBetter ? 0 : this.#failedMoves + 1;
  }

  #tryMove(draw: number): boolean {
    if (draw < DROP_FRACTION) return this.#tryDrop();
    return draw < DROP_FRACTION + REPLACE_FRACTION ? this.#tryReplace() : this.#trySwap();
  }

  /** Takes a replica away: a slow rank is better off with fewer experts. */
  #tryDrop(): boolean {
    const { random } = this.#input;
    const rank = random.nextInt(this.#expertsByRank.length);
    const held = this.#expertsByRank[rank] ?? [];
    const removed = held[random.nextInt(held.length)];
    if (removed === undefined || (this.#ranksByExpert[removed]?.length ?? 0) < 2) return false;
    return this.#tryChange([{ rank, added: undefined, removed }]);
  }

  /** Gives one place of a rank to another expert, or fills an empty one. */
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

  /** Lets two ranks swap one expert each. */
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

  /** Makes changes, and takes them back where they bring nothing or copy too much. */
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

  /** Adds an expert's choices to its ranks, or takes them away. */
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

  /** Skew, and what the copies have to save. */
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
