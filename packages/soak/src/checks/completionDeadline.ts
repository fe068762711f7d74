import {
  isRepeatable,
  type ObservedExecution,
  type ObservedResponse,
  type SentRequest,
} from '../record/observation.js';

import { Check } from './check.js';

/** Tolerated delay of a response, or of the end of abandoned work. */
const SLACK_MS = 500;

/**
 * Checks that responses of stable entries end within the route timeout, and that upstreams stop
 * working on a repeatable request when its caller disconnects.
 */
export class CompletionDeadline extends Check {
  override readonly invariant =
    'requests end within the route timeout and when the caller disconnects';

  readonly #runningCounts = new Map<string, number>();

  readonly #disconnectedAtMs = new Map<string, number>();

  /** Upstream at which each request ran last. */
  readonly #upstreams = new Map<string, string>();

  override onExecutionStart({ id, upstream }: ObservedExecution): void {
    this.#runningCounts.set(id, (this.#runningCounts.get(id) ?? 0) + 1);
    this.#upstreams.set(id, upstream);
  }

  override onExecutionEnd(id: string, _isEarly: boolean, atMs: number): void {
    const remaining = (this.#runningCounts.get(id) ?? 1) - 1;
    this.#runningCounts.set(id, remaining);
    const leftAtMs = this.#disconnectedAtMs.get(id);
    const sent = this.context.findRequest(id);
    if (remaining > 0 || leftAtMs === undefined || !sent) return;
    const lateMs = Math.round(atMs - leftAtMs);
    if (lateMs <= SLACK_MS || !this.context.timeline.isStable(sent.entry, atMs)) return;
    if (!isRepeatable(sent.kind) || !this.context.timeline.isStable(sent.entry, leftAtMs)) return;
    if (this.#isLinkHeld(this.#upstreams.get(id) ?? '', leftAtMs, atMs)) return;
    this.report(`request ${id} was still running ${lateMs} ms after its caller disconnected`, atMs);
  }

  /** Whether a fault of the upstream or its link can have held up the end of the work. */
  #isLinkHeld(upstream: string, leftAtMs: number, atMs: number): boolean {
    const { timeline } = this.context;
    return (
      !timeline.isStable(upstream, leftAtMs) || !timeline.isFaultFree(upstream, leftAtMs, atMs)
    );
  }

  override onCallerDisconnect({ id }: SentRequest, atMs: number): void {
    this.#disconnectedAtMs.set(id, atMs);
  }

  override onResponse(
    { id, entry, sentAtMs, timeoutMs }: SentRequest,
    response: ObservedResponse,
  ): void {
    const lateMs = Math.round(response.endedAtMs - sentAtMs - timeoutMs);
    if (lateMs <= SLACK_MS || !this.context.timeline.isStable(entry, sentAtMs)) return;
    if (!this.context.timeline.isFaultFree(entry, sentAtMs, response.endedAtMs)) return;
    this.report(
      `request ${id} at ${entry} ended ${lateMs} ms after its route timeout`,
      response.endedAtMs,
    );
  }
}
