/** Short ways to build refusals. */
import { Outcome, type Refusal, type RefusalReason } from '../model/reason.js';

/** A refusal of a request of which no byte has reached an upstream. */
export function refuseNotRun(reason: RefusalReason, retryAfterMs: number, detail: string): Refusal {
  return { reason, outcome: Outcome.NotRun, retryAfterMs, detail };
}

/** A refusal of a request that may have run. */
export function refuseUnknown(
  reason: RefusalReason,
  retryAfterMs: number,
  detail: string,
): Refusal {
  return { reason, outcome: Outcome.Unknown, retryAfterMs, detail };
}
