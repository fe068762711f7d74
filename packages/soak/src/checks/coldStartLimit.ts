import { ChangeKind, type Change, type SeenRun } from '../record/observation.js';

import { Check } from './check.js';

const WINDOW_MS = 1_000;

/** A cold upstream gets no more in any second than it bears, from all entries together. */
export class GentleStart extends Check {
  override readonly promise = 'cold upstreams get what they bear';

  readonly #cold = new Map<string, number[]>();

  override noteChange({ kind, subject }: Change): void {
    if (kind === ChangeKind.UpstreamCold) this.#cold.set(subject, []);
    if (kind === ChangeKind.UpstreamWarm) this.#cold.delete(subject);
  }

  override noteRun({ upstream, atMs }: SeenRun): void {
    const before = this.#cold.get(upstream);
    if (!before) return;
    const inWindow = [...before.filter((each) => each > atMs - WINDOW_MS), atMs];
    this.#cold.set(upstream, inWindow);
    const { coldPerS, coldFactor, coldAddition } = this.context.bounds;
    if (inWindow.length <= coldPerS * coldFactor + coldAddition) return;
    this.report(`cold ${upstream} gets ${inWindow.length} requests in a second`, atMs);
  }
}
