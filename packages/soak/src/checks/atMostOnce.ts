import {
  isRepeatable,
  type ObservedResponse,
  type ObservedExecution,
  type SentRequest,
} from '../record/observation.js';

import { Check } from './check.js';

/** Response statuses that guarantee that the request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/**
 * Checks that a non-repeatable request runs at most once, and that it neither ran before nor runs
 * after a response that reports it as not run.
 */
export class AtMostOnce extends Check {
  override readonly invariant =
    'non-repeatable requests run at most once; "not run" responses are true';

  readonly #executionCounts = new Map<string, number>();

  readonly #reportedNotRun = new Set<string>();

  override onExecutionStart({ id, upstream, atMs }: ObservedExecution): void {
    const request = this.context.findRequest(id);
    const count = (this.#executionCounts.get(id) ?? 0) + 1;
    this.#executionCounts.set(id, count);
    if (!request || isRepeatable(request.kind)) return;
    if (count > 1) this.report(`request ${id} runs for the ${count}th time, at ${upstream}`, atMs);
    if (this.#reportedNotRun.has(id)) {
      this.report(
        `request ${id} runs at ${upstream} after a response reported it as not run`,
        atMs,
      );
    }
  }

  override onResponse({ id, kind }: SentRequest, { status, endedAtMs }: ObservedResponse): void {
    if (isRepeatable(kind) || !NOT_RUN_STATUSES.has(status)) return;
    this.#reportedNotRun.add(id);
    if (!this.#executionCounts.has(id)) return;
    this.report(`request ${id} has run but its response status is ${status}`, endedAtMs);
  }
}
