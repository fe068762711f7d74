/** Weights of upstreams whose VM is marked as leaving in the platform's list. */
import type { EntryBoard, UpstreamState } from '../state/entryBoard.js';

import { WeightSource } from './weightSource.js';

/**
 * Uses such an upstream only while all others are full. It is not excluded, because the list lags
 * and is only a hint.
 */
export class LeavingWeight extends WeightSource {
  override readWeight(_board: EntryBoard, upstream: UpstreamState): number {
    return upstream.isListedLeaving ? 0 : 1;
  }
}
