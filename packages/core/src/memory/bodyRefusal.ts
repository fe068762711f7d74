/** Refusals of requests whose bodies are not accepted. */
import { Outcome, RefusalReason, type Refusal } from '../model/reason.js';

/** Retry-After delay, in milliseconds, while memory is short: requests end within seconds. */
const MEMORY_RETRY_MS = 1_000;

const DETAILS: Readonly<Partial<Record<RefusalReason, string>>> = {
  [RefusalReason.BodyTooLarge]: 'the request body exceeds the configured limit',
  [RefusalReason.RequestTooSlow]: 'the request body has stopped arriving',
  [RefusalReason.MemoryShort]: 'this entry has no memory left for the request',
};

/** Creates the refusal; a request that may have run is not to be sent again. */
export function createBodyRefusal(reason: RefusalReason, outcome: Refusal['outcome']): Refusal {
  const isWorthRetry = reason === RefusalReason.MemoryShort && outcome === Outcome.NotRun;
  const retryAfterMs = isWorthRetry ? MEMORY_RETRY_MS : 0;
  return { reason, outcome, retryAfterMs, detail: DETAILS[reason] ?? reason };
}
