/** Reports memory in use and evictions, as metrics and as bounded log lines. */
import { LogLevel, type Log } from '../ports/log.js';
import type { Metrics } from '../ports/metrics.js';

import type { MemoryBudget } from './memoryBudget.js';
import { MemoryKind } from './memoryKind.js';

const LOG_PART = 'memory';

/** Shortest time between two log lines. */
const LOG_INTERVAL_MS = 5_000;

export interface MemoryTelemetryOptions {
  readonly budget: MemoryBudget;
  readonly metrics: Metrics;
  readonly log: Log;
}

export class MemoryTelemetry {
  readonly #options: MemoryTelemetryOptions;

  #evictedCount = 0;

  #loggedAtMs = -Infinity;

  constructor(options: MemoryTelemetryOptions) {
    this.#options = options;
  }

  /** Reports the state of the budget and of the connections. */
  report(connectionCount: number, headBytes: number): void {
    const { budget, metrics } = this.#options;
    Object.values(MemoryKind).forEach((kind) =>
      metrics.gauge('memory.held', budget.readHeldBytes(kind), { kind }),
    );
    metrics.gauge('memory.heads', headBytes);
    metrics.gauge('connection.open', connectionCount);
    budget.takeEvicted().forEach((count, reason) => {
      this.#evictedCount += count;
      for (let at = 0; at < count; at += 1) metrics.count('memory.evicted', { reason });
    });
    this.#log();
  }

  #log(): void {
    const { budget, log } = this.#options;
    if (this.#evictedCount === 0 || budget.nowMs - this.#loggedAtMs < LOG_INTERVAL_MS) return;
    log.write(LogLevel.Warn, LOG_PART, 'Requests were ended to keep within memory and time.', {
      count: this.#evictedCount,
    });
    this.#evictedCount = 0;
    this.#loggedAtMs = budget.nowMs;
  }
}
