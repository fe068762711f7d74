/** Weights of upstreams in routing. */
import type { EntryBoard, UpstreamState } from '../state/entryBoard.js';

/** Tells which part of its limit an upstream is to be used for. */
export abstract class WeightSource {
  /**
   * Reads the weight of an upstream; it is asked at each choice and has to be cheap.
   *
   * @returns 1 for all of its limit, down to 0 for none while others have room
   */
  abstract readWeight(board: EntryBoard, upstream: UpstreamState, nowMs: number): number;
}
