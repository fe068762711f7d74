/** Weights of upstreams while their failure domain returns to service. */
import { computeDomainShare } from '../orders/domainRamp.js';
import type { EntryBoard, UpstreamState } from '../state/entryBoard.js';

import { WeightSource } from './weightSource.js';

/** Ramps up the load of a restored failure domain. */
export class DomainWeight extends WeightSource {
  override readWeight(board: EntryBoard, upstream: UpstreamState, nowMs: number): number {
    return computeDomainShare(board, upstream.domain, upstream.pool, nowMs);
  }
}
