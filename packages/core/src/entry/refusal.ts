/** Builds and reports refusals. */
import { Outcome, type Refusal, type RefusalReason } from '../model/reason.js';
import { LogLevel } from '../ports/log.js';

import type { ClassifiedRequest } from './requestClassifier.js';
import type { RequestContext } from './requestContext.js';

const LOG_PART = 'requests';

/** Builds the refusal of a request of which no byte has reached an upstream. */
export function refuseNotRun(reason: RefusalReason, retryAfterMs: number, detail: string): Refusal {
  return { reason, outcome: Outcome.NotRun, retryAfterMs, detail };
}

/** Builds the refusal of a request that may have run. */
export function refuseUnknown(
  reason: RefusalReason,
  retryAfterMs: number,
  detail: string,
): Refusal {
  return { reason, outcome: Outcome.Unknown, retryAfterMs, detail };
}

/**
 * Counts and logs the refusal of a request. An unknown outcome is logged as a warning, since an
 * operator may have to find out whether the request has run.
 */
export function reportRefusal(
  context: RequestContext,
  { request, workspace }: ClassifiedRequest,
  { reason, outcome }: Refusal,
): void {
  context.metrics.count('request.refused', { reason });
  const level = outcome === Outcome.Unknown ? LogLevel.Warn : LogLevel.Info;
  const fields = { id: request.id, workspace: workspace.name, reason, outcome };
  context.log.write(level, LOG_PART, 'Request ended without a complete answer.', fields);
}
