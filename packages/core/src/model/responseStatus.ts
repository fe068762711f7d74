/** Statuses of HTTP responses (RFC 9110, 15). */
import { z } from 'zod';

const STATUS_MIN = 200;

const STATUS_MAX = 599;

/** Statuses that promise that a request has not run and never will. */
export const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Schema of a stored status. */
export const FINAL_STATUS = z.number().int().min(STATUS_MIN).max(STATUS_MAX);

/** Whether a status is that of a final response; Node's server throws for some others. */
export function isFinalStatus(status: number): boolean {
  return status >= STATUS_MIN && status <= STATUS_MAX;
}
