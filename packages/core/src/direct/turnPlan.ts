/** How long a request may wait for its turn. */
import type { ForwardedRequest } from '../ports/upstreamCaller.js';

import type { Route } from './routeTable.js';

/** Part of the first deadline below which the caller must have come before. */
const RETURNED_PART = 0.97;

/** Margin on the expected time to the first of an answer: about nine in ten are below. */
const FIRST_MARGIN = 1.3;

/** Part of a returned request's time that it may wait: it is late already, but not lost. */
const RETURNED_WAIT_PART = 0.2;

/** Longest wait of a returned request. */
const RETURNED_WAIT_MAX_MS = 1_000;

export interface TurnPlanInput {
  readonly request: ForwardedRequest;
  readonly route: Route;
  /** Time for which callers of the route wait when they come for the first time. */
  readonly firstDeadlineMs: number;
}

export interface TurnPlan {
  /** Whether the request was refused before and has come back. */
  readonly isReturned: boolean;
  /** Span from now in which the request has to be sent. */
  readonly waitBudgetMs: number;
}

/**
 * Plans the wait of a request.
 *
 * @param expectedFirstMs time from sending to the first of an answer
 */
export function planTurn(input: TurnPlanInput, expectedFirstMs: number, nowMs: number): TurnPlan {
  const { request, route, firstDeadlineMs } = input;
  const deadlineMs = request.deadlineMs ?? firstDeadlineMs;
  const isReturned = deadlineMs < firstDeadlineMs * RETURNED_PART;
  const spentMs = Math.max(0, firstDeadlineMs - deadlineMs) + nowMs - request.arrivedAtMs;
  const onTimeMs = route.targetMs - spentMs - expectedFirstMs * FIRST_MARGIN;
  if (!isReturned) return { isReturned, waitBudgetMs: Math.max(0, onTimeMs) };
  const lateMs = Math.min(RETURNED_WAIT_MAX_MS, deadlineMs * RETURNED_WAIT_PART);
  return { isReturned, waitBudgetMs: Math.max(0, onTimeMs, lateMs) };
}
