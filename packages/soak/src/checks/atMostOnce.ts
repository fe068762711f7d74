import {
  isRepeatable,
  type ObservedResponse,
  type ObservedExecution,
  type SentRequest,
} from '../record/observation.js';

import { Check } from './check.js';

/** Statuses that promise that a request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** What may run once runs once at most; what is called not run has not run and never does. */
export class AtMostOnce extends Check {
  override readonly invariant = 'runs at most once, and "not run" is true';

  readonly #executionCounts = new Map<string, number>();

  readonly #reportedNotRun = new Set<string>();

  override onExecutionStart({ id, upstream, atMs }: ObservedExecution): void {
    const request = this.context.findRequest(id);
    const count = (this.#executionCounts.get(id) ?? 0) + 1;
    this.#executionCounts.set(id, count);
    if (!request || isRepeatable(request.kind)) return;
    if (count > 1) this.report(`request ${id} runs for the ${count}th time, at ${upstream}`, atMs);
    if (this.#reportedNotRun.has(id)) {
      this.report(`request ${id} runs at ${upstream} after it was called not run`, atMs);
    }
  }

  override onResponse({ id, kind }: SentRequest, { status, endedAtMs }: ObservedResponse): void {
    if (isRepeatable(kind) || !NOT_RUN_STATUSES.has(status)) return;
    this.#reportedNotRun.add(id);
    if (!this.#executionCounts.has(id)) return;
    this.report(`request ${id} has run and is answered ${status}`, endedAtMs);
  }
}
