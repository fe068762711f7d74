import type { ObservedExecution } from '../record/observation.js';

import { Check } from './check.js';

/** What runs is what a caller has asked for, in the name of its workspace. */
export class RequestIntegrity extends Check {
  override readonly invariant = 'only what was asked for runs, unchanged';

  override onExecutionStart(execution: ObservedExecution): void {
    const request = this.context.findRequest(execution.id);
    if (!request) {
      this.report(
        `request ${execution.id} runs at ${execution.upstream}; nobody sent it`,
        execution.atMs,
      );
      return;
    }
    (['path', 'body', 'workspace', 'pool'] as const)
      .filter((field) => request[field] !== execution[field])
      .forEach((field) => {
        const change = `"${request[field]}" has become "${execution[field]}"`;
        this.report(
          `${field} of request ${execution.id} at ${execution.upstream}: ${change}`,
          execution.atMs,
        );
      });
  }
}
