/** Logs and metrics of the quarantine of prompt parts. */
import { LogLevel, type Log } from '../../ports/log.js';
import type { Metrics } from '../../ports/metrics.js';

import type { Hold } from './poolQuarantine.js';
import type { QuarantineListener } from './promptQuarantine.js';

const LOG_PART = 'prompts';

export interface QuarantineTelemetryOptions {
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Writes the log lines and metrics of one entry's quarantine. */
export class QuarantineTelemetry implements QuarantineListener {
  readonly #options: QuarantineTelemetryOptions;

  constructor(options: QuarantineTelemetryOptions) {
    this.#options = options;
  }

  onHold(pool: string, { part, suspicion, untilMs }: Hold): void {
    const { log, metrics } = this.#options;
    metrics.count('prompt.part.held', { pool });
    log.write(LogLevel.Warn, LOG_PART, 'Prompt part held back.', {
      pool,
      promptPart: part,
      probability: Math.round(suspicion.probability * 100) / 100,
      incidents: suspicion.incidents,
      forMs: Math.round(untilMs - performance.now()),
    });
  }

  onRelease(pool: string, part: string): void {
    const { log, metrics } = this.#options;
    metrics.count('prompt.part.released', { pool });
    log.write(LogLevel.Info, LOG_PART, 'Prompt part released.', {
      pool,
      promptPart: part,
    });
  }

  onTrial(pool: string, part: string, request: string): void {
    const { log, metrics } = this.#options;
    metrics.count('prompt.part.trial', { pool });
    log.write(LogLevel.Info, LOG_PART, 'Request let through as a trial.', {
      pool,
      promptPart: part,
      id: request,
    });
  }
}
