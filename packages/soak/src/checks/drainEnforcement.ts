import { ChangeKind, type Change, type SeenRun } from '../record/observation.js';

import { Check } from './check.js';

/** Upstreams that leave and domains that are closed get nothing once their bound has passed. */
export class LeftAlone extends Check {
  override readonly promise = 'leaving upstreams and closed domains get nothing';

  readonly #closedAtMs = new Map<string, number>();

  readonly #leavingAtMs = new Map<string, number>();

  override noteChange({ kind, subject, atMs }: Change): void {
    if (kind === ChangeKind.DomainClosed) this.#closedAtMs.set(subject, atMs);
    if (kind === ChangeKind.DomainOpened) this.#closedAtMs.delete(subject);
    if (kind === ChangeKind.UpstreamLeaving) this.#leavingAtMs.set(subject, atMs);
    if (kind === ChangeKind.UpstreamEntered) this.#leavingAtMs.delete(subject);
  }

  override noteRun(run: SeenRun): void {
    const { bounds } = this.context;
    this.#judge(
      run,
      `domain ${run.domain} closed`,
      this.#closedAtMs.get(run.domain),
      bounds.evacuateMs,
    );
    const leavingAtMs = this.#leavingAtMs.get(run.upstream);
    this.#judge(run, `${run.upstream} leaving`, leavingAtMs, bounds.drainMs);
  }

  #judge(run: SeenRun, what: string, sinceMs: number | undefined, boundMs: number): void {
    if (sinceMs === undefined || run.atMs - sinceMs <= boundMs) return;
    const entry = this.context.findRequest(run.id)?.entry ?? '';
    if (!this.context.touch.isCalm(entry, sinceMs, run.atMs)) return;
    if (!this.context.touch.isInTouch(entry, run.atMs)) return;
    const ageMs = Math.round(run.atMs - sinceMs);
    this.report(`request ${run.id} from ${entry} reaches ${what} for ${ageMs} ms`, run.atMs);
  }
}
