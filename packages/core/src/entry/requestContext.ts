/** Dependencies shared by the request path of one entry. */
import type { ClaimStore } from '../claims/claimStore.js';
import type { AdmissionPolicy } from '../limits/admissionPolicy.js';
import type { Timing } from '../model/timing.js';
import type { Log } from '../ports/log.js';
import type { Metrics } from '../ports/metrics.js';
import type { RetryPolicy } from '../retry/retryPolicy.js';
import type { RoutingPolicy } from '../routing/routingPolicy.js';
import type { EntryBoard } from '../state/entryBoard.js';

import type { Attempt } from './attempt.js';

/** State and services shared by all requests of an entry. */
export interface RequestContext {
  readonly board: EntryBoard;
  readonly routing: RoutingPolicy;
  readonly admission: AdmissionPolicy;
  readonly retries: RetryPolicy;
  readonly claims: ClaimStore;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly timing: Timing;
  /** Attempts in flight, by id. */
  readonly attempts: Map<string, Attempt>;
}
