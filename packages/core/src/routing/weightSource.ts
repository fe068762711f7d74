/** Interface of the sources of upstream weights in routing. */
import type { EntryBoard, UpstreamState } from '../state/entryBoard.js';

/** Determines which share of its in-flight limit an upstream should be used for. */
export abstract class WeightSource {
  /**
   * Reads the weight of an upstream. Called often, so it must be cheap.
   *
   * @returns from 1, the whole limit, down to 0, which uses the upstream only while others are full
   */
  abstract readWeight(board: EntryBoard, upstream: UpstreamState, nowMs: number): number;
}
