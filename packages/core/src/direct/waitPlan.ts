/** How long a request may wait for its turn. */
import type { ForwardedRequest } from '../ports/upstreamCaller.js';

import type { ReturnAssessment } from './returnDetector.js';
import type { Route } from './routeTable.js';

/** Margin on the expected time to the first of an answer: about nine in ten are below. */
const FIRST_OUTPUT_MARGIN = 1.3;

export interface WaitPlanInput {
  readonly request: ForwardedRequest;
  readonly route: Route;
  readonly returnAssessment: ReturnAssessment;
}

/** Times by which a wait is planned. */
export interface ExpectedTimes {
  /** Time from sending to the first of an answer. */
  readonly firstOutputMs: number;
  /** Time from sending to the end of most answers. */
  readonly answerMs: number;
}

export interface WaitPlan {
  /** Whether the request cannot be on time any more, as it was refused before. */
  readonly isLate: boolean;
  /** Span from now in which the request has to be sent. */
  readonly waitBudgetMs: number;
}

/**
 * Plans the wait of a request that is late already.
 *
 * @param leftMs time until its end
 * @param silentMs time for which its caller has had nothing
 * @returns span in which it has to be sent to reach a caller who is still there
 */
export function planLateWait(
  route: Route,
  expected: ExpectedTimes,
  leftMs: number,
  silentMs: number,
): number {
  const patienceMs = route.patienceMs - silentMs - expected.firstOutputMs * FIRST_OUTPUT_MARGIN;
  return Math.max(0, Math.min(leftMs - expected.answerMs, patienceMs));
}

/**
 * Plans the wait of a request. One that comes for the first time waits as long as it can be on
 * time, as it can come back later. One that has come back may have no other chance, and waits as
 * long as it can be answered at all.
 */
export function planWait(input: WaitPlanInput, expected: ExpectedTimes, nowMs: number): WaitPlan {
  const { request, route, returnAssessment } = input;
  const waitedMs = nowMs - request.arrivedAtMs;
  if (returnAssessment.isReturned) {
    const deadlineMs = request.deadlineMs ?? returnAssessment.firstDeadlineMs;
    const leftMs = Math.min(route.timeoutMs, deadlineMs) - waitedMs;
    return { isLate: true, waitBudgetMs: planLateWait(route, expected, leftMs, waitedMs) };
  }
  const onTimeMs = route.targetMs - waitedMs - expected.firstOutputMs * FIRST_OUTPUT_MARGIN;
  return { isLate: false, waitBudgetMs: Math.max(0, onTimeMs) };
}
