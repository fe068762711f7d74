/** Weight of an upstream whose VM the platform's list calls leaving. */
import type { EntryBoard, UpstreamState } from '../state/entryBoard.js';

import { WeightSource } from './weightSource.js';

/** Uses such an upstream only while others have no room: the list lags, and so is a hint only. */
export class LeavingWeight extends WeightSource {
  override readWeight(_board: EntryBoard, upstream: UpstreamState): number {
    return upstream.isListedLeaving ? 0 : 1;
  }
}
