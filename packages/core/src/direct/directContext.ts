/** What the requests of an entry that calls upstreams itself share. */
import type { Log } from '../ports/log.js';
import type { Metrics } from '../ports/metrics.js';
import type { Random } from '../ports/random.js';
import type { UpstreamCaller } from '../ports/upstreamCaller.js';

import type { FleetBoard } from './fleetBoard.js';

export interface DirectContext {
  readonly board: FleetBoard;
  readonly upstreams: UpstreamCaller;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Takes one retry of a pool from what all entries may retry; false where that is spent. */
  readonly takeRetry: (pool: string, nowMs: number) => boolean;
  /** Whether one could be taken now. */
  readonly mayRetry: (pool: string, nowMs: number) => boolean;
}
