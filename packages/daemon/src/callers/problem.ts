/** Refusals as problem documents (RFC 9457). */
import type http from 'node:http';

import { Outcome, RefusalReason, type Refusal } from '@radishbay/core/model/reason.js';

const PROBLEM_TYPE = 'application/problem+json';
const MS_PER_SECOND = 1_000;
const STATUS_UNAVAILABLE = 503;
const STATUS_BAD_GATEWAY = 502;

/** Status of each reason that is not one of an unavailable service. */
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

/** Status of a refusal. */
export function getStatusCode(refusal: Refusal): number {
  const status = STATUSES[refusal.reason];
  if (status !== undefined) return status;
  return refusal.outcome === Outcome.Unknown ? STATUS_BAD_GATEWAY : STATUS_UNAVAILABLE;
}

/** Body of a refusal. */
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

/** Writes the value of a Retry-After header. */
export type RetryAfterFormat = (retryAfterMs: number) => string;

/** Whole seconds, as RFC 9110 has them. */
function formatWholeSeconds(retryAfterMs: number): string {
  return String(Math.ceil(retryAfterMs / MS_PER_SECOND));
}

/** Answers a request with a refusal. */
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
