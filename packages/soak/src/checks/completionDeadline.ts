import { isRepeatable, type ObservedResponse, type SentRequest } from '../record/observation.js';

import { Check } from './check.js';

/** Time by which an answer, or the end of abandoned work, may be late. */
const SLACK_MS = 500;

/** Answers of entries in touch come within their route's time; abandoned work ends at once. */
export class CompletionDeadline extends Check {
  override readonly invariant = 'an end within the time of the route, and of the caller';

  readonly #runningCounts = new Map<string, number>();

  readonly #disconnectedAtMs = new Map<string, number>();

  override onExecutionStart({ id }: { readonly id: string }): void {
    this.#runningCounts.set(id, (this.#runningCounts.get(id) ?? 0) + 1);
  }

  override onExecutionEnd(id: string, _isEarly: boolean, atMs: number): void {
    const remaining = (this.#runningCounts.get(id) ?? 1) - 1;
    this.#runningCounts.set(id, remaining);
    const callerLeftAtMs = this.#disconnectedAtMs.get(id);
    const request = this.context.findRequest(id);
    if (remaining > 0 || callerLeftAtMs === undefined || !request) return;
    const lateMs = Math.round(atMs - callerLeftAtMs);
    if (lateMs <= SLACK_MS || !this.context.faultTimeline.isStable(request.entry, atMs)) return;
    if (
      !isRepeatable(request.kind) ||
      !this.context.faultTimeline.isStable(request.entry, callerLeftAtMs)
    ) return;
    this.report(`request ${id} is worked on ${lateMs} ms after its caller has left`, atMs);
  }

  override onCallerDisconnect({ id }: SentRequest, atMs: number): void {
    this.#disconnectedAtMs.set(id, atMs);
  }

  override onResponse(
    { id, entry, sentAtMs, timeoutMs }: SentRequest,
    response: ObservedResponse,
  ): void {
    const lateMs = Math.round(response.endedAtMs - sentAtMs - timeoutMs);
    if (lateMs <= SLACK_MS || !this.context.faultTimeline.isStable(entry, sentAtMs)) return;
    if (!this.context.faultTimeline.isFaultFree(entry, sentAtMs, response.endedAtMs)) return;
    this.report(
      `request ${id} at ${entry} ends ${lateMs} ms after its route's time`,
      response.endedAtMs,
    );
  }
}
