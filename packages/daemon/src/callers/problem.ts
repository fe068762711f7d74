/** Refusals as problem documents (RFC 9457). */
import type http from 'node:http';

import { Outcome, RefusalReason, type Refusal } from '@radishbay/core/model/reason.js';

const PROBLEM_TYPE = 'application/problem+json';
const MS_PER_SECOND = 1_000;
const STATUS_UNAVAILABLE = 503;
const STATUS_BAD_GATEWAY = 502;

/** HTTP status by reason; other reasons get 502 if the outcome is unknown, and 503 if not. */
const STATUSES: Readonly<Partial<Record<RefusalReason, number>>> = {
  [RefusalReason.MalformedRequest]: 400,
  [RefusalReason.BadDeadline]: 400,
  [RefusalReason.RequestTooSlow]: 408,
  [RefusalReason.BodyTooLarge]: 413,
  [RefusalReason.HeadersTooLarge]: 431,
  [RefusalReason.Unauthorized]: 401,
  [RefusalReason.UnknownWorkspace]: 401,
  [RefusalReason.UnknownClass]: 404,
  [RefusalReason.UnknownPool]: 404,
  [RefusalReason.UnknownRoute]: 404,
  [RefusalReason.WorkspaceLimit]: 429,
  [RefusalReason.KeyInUse]: 409,
  [RefusalReason.KeyReused]: 422,
  [RefusalReason.DeadlinePassed]: 504,
};

/** Statuses that promise that the request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number | undefined> = new Set([408, 429, 503]);

/** Gets the HTTP status code of a refusal. */
export function getStatusCode(refusal: Refusal): number {
  const status = STATUSES[refusal.reason];
  const isTrue = refusal.outcome === Outcome.NotRun || !NOT_RUN_STATUSES.has(status);
  if (status !== undefined && isTrue) return status;
  return refusal.outcome === Outcome.Unknown ? STATUS_BAD_GATEWAY : STATUS_UNAVAILABLE;
}

/** Formats a refusal as the JSON text of a problem document. */
export function formatProblem(refusal: Refusal): string {
  return JSON.stringify({
    type: `urn:radishbay:refusal:${refusal.reason}`,
    title: refusal.reason.replaceAll('-', ' '),
    status: getStatusCode(refusal),
    detail: refusal.detail,
    reason: refusal.reason,
    outcome: refusal.outcome,
    retryAfterMs: refusal.retryAfterMs,
  });
}

/** Formats a delay in milliseconds as the value of a Retry-After header. */
export type RetryAfterFormat = (retryAfterMs: number) => string;

/** Formats whole seconds, rounded up, as RFC 9110 defines them. */
function formatWholeSeconds(retryAfterMs: number): string {
  return String(Math.ceil(retryAfterMs / MS_PER_SECOND));
}

/** Sends a refusal as the response; adds Retry-After if the refusal names a delay. */
export function writeProblem(
  response: http.ServerResponse,
  refusal: Refusal,
  formatRetryAfter: RetryAfterFormat = formatWholeSeconds,
): void {
  const body = formatProblem(refusal);
  response.statusCode = getStatusCode(refusal);
  response.setHeader('content-type', PROBLEM_TYPE);
  response.setHeader('content-length', Buffer.byteLength(body));
  if (refusal.retryAfterMs > 0) {
    response.setHeader('retry-after', formatRetryAfter(refusal.retryAfterMs));
  }
  response.end(body);
}
