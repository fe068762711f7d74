/** Weight of a failure domain that comes back into service. */
import { readDomainShare } from '../orders/domainRamp.js';
import type { EntryBoard, UpstreamState } from '../state/entryBoard.js';

import { WeightSource } from './weightSource.js';

/** Lets a returning domain take up its work gradually. */
export class DomainWeight extends WeightSource {
  override readWeight(board: EntryBoard, upstream: UpstreamState, nowMs: number): number {
    return readDomainShare(board, upstream.domain, upstream.pool, nowMs);
  }
}
