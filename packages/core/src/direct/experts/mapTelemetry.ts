/** Log lines and metrics about the expert maps of one pool. */
import { LogLevel, type Log, type LogFields } from '../../ports/log.js';
import type { Metrics } from '../../ports/metrics.js';

import type { GroupRank } from './groupSurvey.js';
import type { AbandonedHold } from './holdRecovery.js';
import type { FoundMap } from './mapSearch.js';
import type { OrderOutcome, RankCommand } from './rankCaller.js';
import type { SwitchResult } from './barrierSwitch.js';

const LOG_PART = 'experts';

export interface MapTelemetryOptions {
  readonly pool: string;
  readonly log: Log;
  readonly metrics: Metrics;
}

function roundSkew(skew: number): number {
  return Math.round(skew * 100) / 100;
}

/** Logs and counts the events of one pool's expert maps. */
export class MapTelemetry {
  readonly #options: MapTelemetryOptions;

  #wasCoordinator = false;

  constructor(options: MapTelemetryOptions) {
    this.#options = options;
  }

  /** Logs a change of whether this entry coordinates the maps; called in each round. */
  recordRole(isCoordinator: boolean, peersHeard: number): void {
    if (isCoordinator === this.#wasCoordinator) return;
    this.#wasCoordinator = isCoordinator;
    const sentence = isCoordinator
      ? 'This entry coordinates the expert maps of the pool.'
      : 'This entry no longer coordinates the expert maps of the pool.';
    this.#writeLog(LogLevel.Info, sentence, { peersHeard });
  }

  /** Records a held pass that a survey found. */
  recordHold({ step, version }: AbandonedHold): void {
    this.#options.metrics.count('experts.hold_found');
    this.#writeLog(LogLevel.Warn, 'Found a held pass of an unfinished map switch.', {
      step,
      version,
    });
  }

  recordPlan(found: FoundMap, samples: number, isWorthwhile: boolean): void {
    this.#writeLog(
      LogLevel.Info,
      isWorthwhile
        ? 'Planned a better expert map.'
        : 'Kept the current expert map: the best map found gains too little.',
      {
        skewBefore: roundSkew(found.skewBefore),
        skewAfter: roundSkew(found.skewAfter),
        copies: found.copies,
        samples,
      },
    );
  }

  recordShift(): void {
    this.#options.metrics.count('experts.shift');
    this.#writeLog(LogLevel.Info, 'Detected a shift in the demand for experts.', {});
  }

  /** Records an order that was refused or not answered. */
  recordOrderFailure(
    { upstream }: GroupRank,
    { kind, step }: RankCommand,
    outcome: OrderOutcome,
  ): void {
    this.#options.metrics.count('experts.order.doubted', { kind, outcome });
    const fields = { upstream: upstream.id, kind, step, outcome };
    this.#writeLog(LogLevel.Info, 'An order to a rank was refused or not answered.', fields);
  }

  recordSwitch(result: SwitchResult, version: number, tookMs: number): void {
    const { outcome } = result;
    this.#options.metrics.count('experts.switch', { outcome });
    this.#options.metrics.timing('experts.switch', tookMs, { outcome });
    this.#writeLog(LogLevel.Info, 'Switch to a new expert map ended.', {
      ...result,
      version,
      tookMs: Math.round(tookMs),
    });
  }

  #writeLog(level: LogLevel, sentence: string, fields: LogFields): void {
    const { log, pool } = this.#options;
    log.write(level, LOG_PART, sentence, { pool, ...fields });
  }
}
