import { ChangeKind, type Change, type ObservedExecution } from '../record/observation.js';

import { Check } from './check.js';

/**
 * Checks that leaving upstreams and closed domains receive no requests once their time limit has
 * passed.
 */
export class DrainEnforcement extends Check {
  override readonly invariant = 'leaving upstreams and closed domains receive no requests';

  readonly #closedAtMs = new Map<string, number>();

  readonly #leavingAtMs = new Map<string, number>();

  override onChange({ kind, subject, atMs }: Change): void {
    if (kind === ChangeKind.DomainClosed) this.#closedAtMs.set(subject, atMs);
    if (kind === ChangeKind.DomainOpened) this.#closedAtMs.delete(subject);
    if (kind === ChangeKind.UpstreamLeaving) this.#leavingAtMs.set(subject, atMs);
    if (kind === ChangeKind.UpstreamRegistered) this.#leavingAtMs.delete(subject);
  }

  override onExecutionStart(execution: ObservedExecution): void {
    const { bounds } = this.context;
    this.#checkExecution(
      execution,
      `closed domain ${execution.domain}`,
      this.#closedAtMs.get(execution.domain),
      bounds.evacuateMs,
    );
    const leavingAtMs = this.#leavingAtMs.get(execution.upstream);
    this.#checkExecution(
      execution,
      `leaving upstream ${execution.upstream}`,
      leavingAtMs,
      bounds.drainMs,
    );
  }

  #checkExecution(
    execution: ObservedExecution,
    target: string,
    sinceMs: number | undefined,
    boundMs: number,
  ): void {
    if (sinceMs === undefined || execution.atMs - sinceMs <= boundMs) return;
    const entry = this.context.findRequest(execution.id)?.entry ?? '';
    if (!this.context.timeline.isFaultFree(entry, sinceMs, execution.atMs)) return;
    if (!this.context.timeline.isStable(entry, execution.atMs)) return;
    const ageMs = Math.round(execution.atMs - sinceMs);
    this.report(
      `request ${execution.id} from ${entry} reached ${target}, ${ageMs} ms after the change`,
      execution.atMs,
    );
  }
}
