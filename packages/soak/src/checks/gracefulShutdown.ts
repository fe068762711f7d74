import {
  ChangeKind,
  type Change,
  type ObservedResponse,
  type ObservedExecution,
  type SentRequest,
} from '../record/observation.js';

import { Check } from './check.js';

/** Fraction of the stop limit in which work that was in progress at the signal must complete. */
const COMPLETION_RATIO = 5 / 6;

/** Time after the signal for which an entry accepts requests, as the balancer still sends some. */
const ACCEPTING_MS = 3_000;

/** Time after sending from which a request counts as read, even if it was not forwarded. */
const READ_SLACK_MS = 200;

/** Checks that a graceful shutdown interrupts no request that its entry has accepted. */
export class GracefulShutdown extends Check {
  override readonly invariant = 'graceful shutdowns interrupt no accepted request';

  readonly #stopRequestedAtMs = new Map<string, number>();

  /** By request id: upstream at which the request last began to run. */
  readonly #executingUpstreams = new Map<string, string>();

  override onChange({ kind, subject, atMs }: Change): void {
    if (kind === ChangeKind.StopRequested) this.#stopRequestedAtMs.set(subject, atMs);
  }

  override onExecutionStart({ id, upstream }: ObservedExecution): void {
    this.#executingUpstreams.set(id, upstream);
  }

  override onResponse(request: SentRequest, response: ObservedResponse): void {
    const { entry, id, sentAtMs } = request;
    const stopAtMs = this.#stopRequestedAtMs.get(entry);
    const upstream = this.#executingUpstreams.get(id);
    this.#executingUpstreams.delete(id);
    if (stopAtMs === undefined || response.isWhole || response.endedAtMs < stopAtMs) return;
    if (sentAtMs > stopAtMs + ACCEPTING_MS) return;
    if (!upstream && response.endedAtMs - sentAtMs < READ_SLACK_MS) return;
    const sinceStopMs = response.endedAtMs - stopAtMs;
    if (sinceStopMs > this.context.bounds.stopLimitMs * COMPLETION_RATIO) return;
    if (!this.#isUnaffectedByFaults(request, response, upstream)) return;
    const detail = `${response.detail}, ${Math.round(sinceStopMs)} ms after the stop signal`;
    this.report(`request ${id} at ${entry} ended with ${detail}`, response.endedAtMs);
  }

  /** Whether neither the entry nor the upstream had a fault that could have interrupted it. */
  #isUnaffectedByFaults(
    request: SentRequest,
    { endedAtMs }: ObservedResponse,
    executedBy: string | undefined,
  ): boolean {
    const { timeline } = this.context;
    const { entry, sentAtMs } = request;
    const isEntryFaultFree =
      timeline.isStable(entry, sentAtMs) && timeline.isFaultFree(entry, sentAtMs, endedAtMs);
    if (!isEntryFaultFree) return false;
    return executedBy === undefined || timeline.isFaultFree(executedBy, sentAtMs, endedAtMs);
  }
}
