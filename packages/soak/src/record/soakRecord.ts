/** Hears all that a soak sees, and passes it on to the checks. */
import type { Check, CheckContext } from '../checks/check.js';

import type { Change, ObservedResponse, ObservedExecution, SentRequest } from './observation.js';

/** A promise that was found broken. */
export interface Violation {
  readonly invariant: string;
  readonly detail: string;
  /** From the start of the run. */
  readonly atMs: number;
}

/** Facts of one run. */
export class SoakRecord {
  readonly #startedAtMs = performance.now();

  readonly #requests = new Map<string, SentRequest>();

  readonly #checks: Check[] = [];

  readonly violations: Violation[] = [];

  /** Answers by status; 0 where a connection broke. */
  readonly responseCounts = new Map<number, number>();

  /** Adds the checks that a context is made for. */
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

  recordExecutionEnd(id: string, isEarly: boolean): void {
    this.#checks.forEach((check) => check.onExecutionEnd?.(id, isEarly, performance.now()));
  }

  recordResponse(request: SentRequest, response: ObservedResponse): void {
    this.responseCounts.set(response.status, (this.responseCounts.get(response.status) ?? 0) + 1);
    this.#checks.forEach((check) => check.onResponse?.(request, response));
  }

  recordCallerDisconnect(request: SentRequest): void {
    this.#checks.forEach((check) => check.onCallerDisconnect?.(request, performance.now()));
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

  /** Notes a promise that was found broken, now or at an earlier moment. */
  recordViolation(invariant: string, detail: string, atMs = performance.now()): void {
    this.violations.push({
      invariant,
      detail,
      atMs: Math.round(atMs - this.#startedAtMs),
    });
  }
}
