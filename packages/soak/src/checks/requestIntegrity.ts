import type { ObservedExecution } from '../record/observation.js';

import { Check } from './check.js';

/** Checks that upstreams run only requests that callers sent, unmodified and in their workspace. */
export class RequestIntegrity extends Check {
  override readonly invariant = 'upstreams run only requests that were sent, unmodified';

  override onExecutionStart(execution: ObservedExecution): void {
    const request = this.context.findRequest(execution.id);
    if (!request) {
      this.report(
        `request ${execution.id} runs at ${execution.upstream}, but no caller sent it`,
        execution.atMs,
      );
      return;
    }
    (['path', 'body', 'workspace', 'pool'] as const)
      .filter((field) => request[field] !== execution[field])
      .forEach((field) => {
        const change = `"${request[field]}" changed to "${execution[field]}"`;
        this.report(
          `${field} of request ${execution.id} at ${execution.upstream}: ${change}`,
          execution.atMs,
        );
      });
  }
}
