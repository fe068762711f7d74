/** How long a request may wait for its turn. */
import type { ForwardedRequest } from '../ports/upstreamCaller.js';

import type { ReturnJudgement } from './returnWatch.js';
import type { Route } from './routeTable.js';

/** Margin on the expected time to the first of an answer: about nine in ten are below. */
const FIRST_MARGIN = 1.3;

/** Part of a returned request's time that it may wait: it is late already, but not lost. */
const RETURNED_WAIT_PART = 0.2;

/** Longest wait of a returned request. */
const RETURNED_WAIT_MAX_MS = 1_000;

export interface TurnPlanInput {
  readonly request: ForwardedRequest;
  readonly route: Route;
  readonly returned: ReturnJudgement;
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
  const { request, route, returned } = input;
  const { firstDeadlineMs, isReturned } = returned;
  const deadlineMs = request.deadlineMs ?? firstDeadlineMs;
  const beforeMs = isReturned ? firstDeadlineMs - deadlineMs : 0;
  const spentMs = beforeMs + nowMs - request.arrivedAtMs;
  const onTimeMs = route.targetMs - spentMs - expectedFirstMs * FIRST_MARGIN;
  if (!isReturned) return { isReturned, waitBudgetMs: Math.max(0, onTimeMs) };
  const lateMs = Math.min(RETURNED_WAIT_MAX_MS, deadlineMs * RETURNED_WAIT_PART);
  return { isReturned, waitBudgetMs: Math.max(0, onTimeMs, lateMs) };
}
