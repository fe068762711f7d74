import { mayRepeat, type SeenAnswer, type SeenRun, type SentRequest } from '../record/observation.js';

import { Check } from './check.js';

/** Statuses that promise that a request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** What may run once runs once at most; what is called not run has not run and never does. */
export class RunsOnce extends Check {
  override readonly promise = 'runs at most once, and "not run" is true';

  readonly #runs = new Map<string, number>();

  readonly #calledNotRun = new Set<string>();

  override noteRun({ id, upstream, atMs }: SeenRun): void {
    const request = this.context.findRequest(id);
    const count = (this.#runs.get(id) ?? 0) + 1;
    this.#runs.set(id, count);
    if (!request || mayRepeat(request.kind)) return;
    if (count > 1) this.report(`request ${id} runs for the ${count}th time, at ${upstream}`, atMs);
    if (this.#calledNotRun.has(id)) {
      this.report(`request ${id} runs at ${upstream} after it was called not run`, atMs);
    }
  }

  override noteAnswer({ id, kind }: SentRequest, { status, endedAtMs }: SeenAnswer): void {
    if (mayRepeat(kind) || !NOT_RUN_STATUSES.has(status)) return;
    this.#calledNotRun.add(id);
    if (!this.#runs.has(id)) return;
    this.report(`request ${id} has run and is answered ${status}`, endedAtMs);
  }
}
