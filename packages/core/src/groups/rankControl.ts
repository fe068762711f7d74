/** How orders reach the ranks of one group, as decisions see it. */
import type { RankAnswer, RankOrder } from './rankOrder.js';

/** Gives orders to the side processes of one group's ranks. */
export abstract class RankControl {
  /** Number of ranks in the group. */
  abstract get ranks(): number;

  /**
   * Gives one order to one rank. Orders may be lost, late, repeated or cross each other.
   *
   * @returns always after a bounded time; `Lost` where no answer came
   */
  abstract order(rank: number, order: RankOrder): Promise<RankAnswer>;
}
