/** Logs and metrics of the request limits that upstreams name. */
import { LogLevel, type Log } from '../../ports/log.js';
import type { Metrics } from '../../ports/metrics.js';
import type { UpstreamEntry } from '../directUpstream.js';
import type { FleetBoard } from '../fleetBoard.js';

import type { LimitListener, LimitRecord } from './requestLimits.js';

const LOG_PART = 'limits';

/** Number of upstreams whose last invalid value is remembered. */
const INVALID_VALUES_MAX = 1_024;

export interface LimitTelemetryOptions {
  readonly board: FleetBoard;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Writes the log lines and metrics of one entry's request limits. */
export class LimitTelemetry implements LimitListener {
  readonly #options: LimitTelemetryOptions;

  /** Last invalid value of each upstream, so that it is logged once. */
  readonly #invalidValues = new Map<string, string>();

  constructor(options: LimitTelemetryOptions) {
    this.#options = options;
  }

  onChange(incarnation: string, { perS }: LimitRecord, previousPerS: number | undefined): void {
    const { board, log, metrics } = this.#options;
    metrics.gauge('upstream.limited', board.limits.limitedCount);
    const sentence =
      perS === undefined
        ? 'The request limit of an upstream ended.'
        : 'An upstream limits its requests.';
    // A limit can change with every answer.
    const isOther = perS !== undefined && previousPerS !== undefined;
    const level = isOther ? LogLevel.Routine : LogLevel.Info;
    log.write(level, LOG_PART, sentence, { incarnation, requestLimitPerS: perS });
  }

  onInvalid({ id }: UpstreamEntry, detail: string): void {
    const { log, metrics } = this.#options;
    metrics.count('upstream.limit.invalid');
    if (this.#invalidValues.get(id) === detail) return;
    if (this.#invalidValues.size >= INVALID_VALUES_MAX) this.#invalidValues.clear();
    this.#invalidValues.set(id, detail);
    const fields = { upstream: id, detail };
    log.write(LogLevel.Warn, LOG_PART, 'An upstream names an invalid request limit.', fields);
  }

  onControlCall(rank: UpstreamEntry, path: string, requestLimitPerS: number): void {
    const { log, metrics } = this.#options;
    metrics.count('upstream.limit.control');
    const fields = { upstream: rank.id, path, requestLimitPerS };
    log.write(LogLevel.Routine, LOG_PART, 'Control call to a limited upstream.', fields);
  }
}
