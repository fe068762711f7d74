import { ChangeKind, type Change, type ObservedExecution } from '../record/observation.js';

import { Check } from './check.js';

const WINDOW_MS = 1_000;

/** Checks the request rate to each cold upstream, summed over all entries, in every second. */
export class ColdStartLimit extends Check {
  override readonly invariant = 'cold upstreams stay within their request limit';

  readonly #recentExecutionsAtMs = new Map<string, number[]>();

  override onChange({ kind, subject }: Change): void {
    if (kind === ChangeKind.UpstreamCold) this.#recentExecutionsAtMs.set(subject, []);
    if (kind === ChangeKind.UpstreamWarm) this.#recentExecutionsAtMs.delete(subject);
  }

  override onExecutionStart({ upstream, atMs }: ObservedExecution): void {
    const previous = this.#recentExecutionsAtMs.get(upstream);
    if (!previous) return;
    const inWindow = [...previous.filter((each) => each > atMs - WINDOW_MS), atMs];
    this.#recentExecutionsAtMs.set(upstream, inWindow);
    const { coldPerS, coldFactor, coldAddition } = this.context.bounds;
    if (inWindow.length <= coldPerS * coldFactor + coldAddition) return;
    this.report(
      `cold upstream ${upstream} received ${inWindow.length} requests in one second`,
      atMs,
    );
  }
}
