/** Calculates how long a request may be queued for admission. */
import type { ForwardedRequest } from '../ports/upstreamCaller.js';

import type { ReturnAssessment } from './returnDetector.js';
import type { Route } from './routeTable.js';

/** Factor on the expected time to first output, which about nine in ten requests stay below. */
const FIRST_OUTPUT_MARGIN = 1.3;

/**
 * Part of its target that a request may wait at least where requests differ in priority. One whose
 * first output is expected just late would be refused for a less urgent one with a longer target.
 */
const MINIMUM_WAIT_FRACTION = 0.125;

export interface WaitPlanInput {
  readonly request: ForwardedRequest;
  readonly route: Route;
  readonly returnAssessment: ReturnAssessment;
  /** Whether the pool's requests are admitted by priority over all entries. */
  readonly isByPriority: boolean;
}

/** Estimated times on which a wait budget is based. */
export interface ExpectedTimes {
  /** Time from sending a request to its first output. */
  readonly firstOutputMs: number;
  /** Time from sending a request to the end of its response, which most responses stay below. */
  readonly responseMs: number;
}

export interface WaitPlan {
  /** Whether the request can no longer be on time, as it was refused before. */
  readonly isLate: boolean;
  /** Time from now within which the request has to be sent. */
  readonly waitBudgetMs: number;
}

/**
 * Calculates the wait budget of a request that is already late.
 *
 * @param leftMs time until the request expires
 * @param silentMs time for which the caller has received nothing
 * @returns time within which the request has to be sent to reach a caller that is still connected
 */
export function planLateWait(
  route: Route,
  expected: ExpectedTimes,
  leftMs: number,
  silentMs: number,
): number {
  const patienceMs = route.patienceMs - silentMs - expected.firstOutputMs * FIRST_OUTPUT_MARGIN;
  return Math.max(0, Math.min(leftMs - expected.responseMs, patienceMs));
}

/**
 * Plans how long a request may be queued. A first attempt by a caller waits only as long as it can
 * be on time, as the caller can retry later. A caller's retry may have no other chance and waits as
 * long as it can be answered at all.
 */
export function planWait(input: WaitPlanInput, expected: ExpectedTimes, nowMs: number): WaitPlan {
  const { request, route, returnAssessment, isByPriority } = input;
  const waitedMs = nowMs - request.arrivedAtMs;
  if (returnAssessment.isReturned) {
    const deadlineMs = request.deadlineMs ?? returnAssessment.firstDeadlineMs;
    const leftMs = Math.min(route.timeoutMs, deadlineMs) - waitedMs;
    return { isLate: true, waitBudgetMs: planLateWait(route, expected, leftMs, waitedMs) };
  }
  const onTimeMs = route.targetMs - waitedMs - expected.firstOutputMs * FIRST_OUTPUT_MARGIN;
  const minimumMs = isByPriority ? route.targetMs * MINIMUM_WAIT_FRACTION : 0;
  return { isLate: false, waitBudgetMs: Math.max(minimumMs, onTimeMs) };
}
