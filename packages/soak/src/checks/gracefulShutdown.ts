import {
  ChangeKind,
  type Change,
  type ObservedResponse,
  type ObservedExecution,
  type SentRequest,
} from '../record/observation.js';

import { Check } from './check.js';

/** Part of a planned stop's time in which the work that it began with has to be over. */
const COMPLETION_RATIO = 5 / 6;

/** Time after the signal in which an entry still takes requests, as the balancer sends them. */
const ACCEPTING_MS = 3_000;

/** Time from sending after which a request counts as read, whether or not it was passed on. */
const READ_SLACK_MS = 200;

/** A planned stop cuts nothing that its entry has taken. */
export class GracefulShutdown extends Check {
  override readonly invariant = 'planned stops cut nothing';

  readonly #stopRequestedAtMs = new Map<string, number>();

  readonly #executedAt = new Map<string, string>();

  override onChange({ kind, subject, atMs }: Change): void {
    if (kind === ChangeKind.StopRequested) this.#stopRequestedAtMs.set(subject, atMs);
  }

  override onExecutionStart({ id, upstream }: ObservedExecution): void {
    this.#executedAt.set(id, upstream);
  }

  override onResponse(request: SentRequest, response: ObservedResponse): void {
    const { entry, id, sentAtMs } = request;
    const stopAtMs = this.#stopRequestedAtMs.get(entry);
    const executedBy = this.#executedAt.get(id);
    this.#executedAt.delete(id);
    if (stopAtMs === undefined || response.isWhole || response.endedAtMs < stopAtMs) return;
    if (sentAtMs > stopAtMs + ACCEPTING_MS) return;
    if (!executedBy && response.endedAtMs - sentAtMs < READ_SLACK_MS) return;
    const sinceStopMs = response.endedAtMs - stopAtMs;
    if (sinceStopMs > this.context.bounds.stopLimitMs * COMPLETION_RATIO) return;
    if (!this.#isUnaffectedByFaults(request, response, executedBy)) return;
    const detail = `${response.detail}, ${Math.round(sinceStopMs)} ms into its stop`;
    this.report(`request ${id} at ${entry} ends with ${detail}`, response.endedAtMs);
  }

  /** Whether neither the entry nor the upstream had a fault that could have cut the request. */
  #isUnaffectedByFaults(
    request: SentRequest,
    { endedAtMs }: ObservedResponse,
    executedBy: string | undefined,
  ): boolean {
    const { faultTimeline } = this.context;
    const { entry, sentAtMs } = request;
    const isEntryFaultFree =
      faultTimeline.isStable(entry, sentAtMs) &&
      faultTimeline.isFaultFree(entry, sentAtMs, endedAtMs);
    if (!isEntryFaultFree) return false;
    return executedBy === undefined || faultTimeline.isFaultFree(executedBy, sentAtMs, endedAtMs);
  }
}
