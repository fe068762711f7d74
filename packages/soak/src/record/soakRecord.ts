/** Receives all events of a soak and forwards them to the checks. */
import type { Check, CheckContext } from '../checks/check.js';

import type { Change, ObservedResponse, ObservedExecution, SentRequest } from './observation.js';

/** A violation of an invariant. */
export interface Violation {
  readonly invariant: string;
  readonly detail: string;
  /** Time since the start of the run. */
  readonly atMs: number;
}

/** Requests, response counts and violations of one run. */
export class SoakRecord {
  readonly #startedAtMs = performance.now();

  readonly #requests = new Map<string, SentRequest>();

  readonly #checks: Check[] = [];

  readonly violations: Violation[] = [];

  /** Number of responses by status; status 0 counts failed connections. */
  readonly responseCounts = new Map<number, number>();

  /** Adds the checks that a function creates for the context of this record. */
  addChecks(
    create: (context: Pick<CheckContext, 'onViolation' | 'findRequest'>) => readonly Check[],
  ): void {
    this.#checks.push(
      ...create({
        onViolation: (invariant, detail, atMs) => this.recordViolation(invariant, detail, atMs),
        findRequest: (id) => this.#requests.get(id),
      }),
    );
  }

  recordRequest(request: SentRequest): void {
    this.#requests.set(request.id, request);
    this.#checks.forEach((check) => check.onRequestSent?.(request));
  }

  recordExecution(execution: ObservedExecution): void {
    this.#checks.forEach((check) => check.onExecutionStart?.(execution));
  }

  recordExecutionEnd(id: string, isEarly: boolean, atMs = performance.now()): void {
    this.#checks.forEach((check) => check.onExecutionEnd?.(id, isEarly, atMs));
  }

  recordResponse(request: SentRequest, response: ObservedResponse): void {
    this.responseCounts.set(response.status, (this.responseCounts.get(response.status) ?? 0) + 1);
    this.#checks.forEach((check) => check.onResponse?.(request, response));
  }

  recordCallerDisconnect(request: SentRequest, atMs = performance.now()): void {
    this.#checks.forEach((check) => check.onCallerDisconnect?.(request, atMs));
  }

  recordChange(change: Change): void {
    this.#checks.forEach((check) => check.onChange?.(change));
  }

  finishChecks(): void {
    this.#checks.forEach((check) => check.onFinish?.(performance.now()));
  }

  /** Time since the start of the run. */
  get elapsedMs(): number {
    return performance.now() - this.#startedAtMs;
  }

  /** Records a violation that occurred now or at an earlier time. */
  recordViolation(invariant: string, detail: string, atMs = performance.now()): void {
    this.violations.push({
      invariant,
      detail,
      atMs: Math.round(atMs - this.#startedAtMs),
    });
  }
}
