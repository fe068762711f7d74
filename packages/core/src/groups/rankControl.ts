/** Port through which coordinators send orders to the ranks of one group. */
import type { RankAnswer, RankOrder } from './rankOrder.js';

/** Sends orders to the side processes of one group's ranks. */
export abstract class RankControl {
  /** Number of ranks in the group. */
  abstract get ranks(): number;

  /**
   * Sends one order to one rank. Orders may be lost, delayed, duplicated or reordered.
   *
   * @returns resolves within a bounded time; `Lost` if no answer came
   */
  abstract order(rank: number, order: RankOrder): Promise<RankAnswer>;
}
