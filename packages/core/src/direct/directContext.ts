/** Dependencies shared by the requests of an entry that calls upstreams itself. */
import type { Log } from '../ports/log.js';
import type { Metrics } from '../ports/metrics.js';
import type { Random } from '../ports/random.js';
import type { UpstreamCaller } from '../ports/upstreamCaller.js';

import type { FleetBoard } from './fleetBoard.js';
import type { CrashDetector } from './prompts/crashDetector.js';

export interface DirectContext {
  readonly board: FleetBoard;
  readonly upstreams: UpstreamCaller;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly crashes: CrashDetector;
  /**
   * Takes one retry of a pool from the budget that all entries share; false where it is used up.
   */
  readonly takeRetry: (pool: string, nowMs: number) => boolean;
  /** Whether the budget allows a retry now; takes none. */
  readonly mayRetry: (pool: string, nowMs: number) => boolean;
}
