import type { SeenRun } from '../record/observation.js';

import { Check } from './check.js';

/** What runs is what a caller has asked for, in the name of its workspace. */
export class AskedRun extends Check {
  override readonly promise = 'only what was asked for runs, unchanged';

  override noteRun(run: SeenRun): void {
    const request = this.context.findRequest(run.id);
    if (!request) {
      this.report(`request ${run.id} runs at ${run.upstream}; nobody sent it`, run.atMs);
      return;
    }
    (['path', 'body', 'workspace', 'pool'] as const)
      .filter((field) => request[field] !== run[field])
      .forEach((field) => {
        const change = `"${request[field]}" has become "${run[field]}"`;
        this.report(`${field} of request ${run.id} at ${run.upstream}: ${change}`, run.atMs);
      });
  }
}
