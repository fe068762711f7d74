import type { ObservedExecution, SentRequest } from '../record/observation.js';

import { Check } from './check.js';

interface Window {
  requestsAtMs: number[];
  retriesAtMs: number[];
}

/** Checks retries against the attempts of their route and the budget shared by all entries. */
export class RetryLimits extends Check {
  override readonly invariant = 'retries stay within the attempt limit and the retry budget';

  readonly #windows = new Map<string, Window>();

  readonly #executionCounts = new Map<string, number>();

  override onRequestSent({ pool, sentAtMs }: SentRequest): void {
    this.#findWindow(pool).requestsAtMs.push(sentAtMs);
  }

  override onExecutionStart({ id, pool, atMs }: ObservedExecution): void {
    const request = this.context.findRequest(id);
    const count = (this.#executionCounts.get(id) ?? 0) + 1;
    this.#executionCounts.set(id, count);
    if (!request || count === 1) return;
    if (count > request.attempts) {
      this.report(`request ${id} ran ${count} times, its route allows ${request.attempts}`, atMs);
    }
    this.#checkBudget(pool, atMs);
  }

  #findWindow(pool: string): Window {
    const known = this.#windows.get(pool);
    if (known) return known;
    const window = { requestsAtMs: [], retriesAtMs: [] };
    this.#windows.set(pool, window);
    return window;
  }

  /** The budget follows the larger request count of the current and the previous window. */
  #checkBudget(pool: string, nowMs: number): void {
    const { retryWindowMs, retryShare, retryFloor } = this.context.bounds;
    const window = this.#findWindow(pool);
    const startMs = nowMs - retryWindowMs;
    window.retriesAtMs = [...window.retriesAtMs.filter((atMs) => atMs > startMs), nowMs];
    window.requestsAtMs = window.requestsAtMs.filter((atMs) => atMs > startMs - retryWindowMs);
    const recent = window.requestsAtMs.filter((atMs) => atMs > startMs).length;
    const requests = Math.max(recent, window.requestsAtMs.length - recent);
    const retries = window.retriesAtMs.length;
    if (retries <= requests * retryShare + retryFloor) return;
    this.report(`pool ${pool} received ${retries} retries for ${requests} requests`, nowMs);
  }
}
