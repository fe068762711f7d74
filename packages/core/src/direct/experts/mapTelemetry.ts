/** What logs and metrics say of one pool's expert maps. */
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

/** Writes the lines and counts of one pool's maps. */
export class MapTelemetry {
  readonly #options: MapTelemetryOptions;

  #wasCoordinator = false;

  constructor(options: MapTelemetryOptions) {
    this.#options = options;
  }

  /** Hears in each round whether this entry gives the maps. */
  recordRole(isCoordinator: boolean, peersHeard: number): void {
    if (isCoordinator === this.#wasCoordinator) return;
    this.#wasCoordinator = isCoordinator;
    const sentence = isCoordinator ? 'This entry gives the maps.' : 'This entry gives no maps now.';
    this.#writeLog(LogLevel.Info, sentence, { peersHeard });
  }

  recordHold({ step, version }: AbandonedHold): void {
    this.#options.metrics.count('experts.hold_found');
    this.#writeLog(LogLevel.Warn, 'A pass is held that nobody lets begin.', { step, version });
  }

  recordPlan(found: FoundMap, samples: number, isWorthwhile: boolean): void {
    this.#writeLog(LogLevel.Info, isWorthwhile ? 'A better map is planned.' : 'The map stays.', {
      skewBefore: roundSkew(found.skewBefore),
      skewAfter: roundSkew(found.skewAfter),
      copies: found.copies,
      samples,
    });
  }

  recordShift(): void {
    this.#options.metrics.count('experts.shift');
    this.#writeLog(LogLevel.Info, 'Demand for experts has shifted.', {});
  }

  recordOrderFailure(
    { upstream }: GroupRank,
    { kind, step }: RankCommand,
    outcome: OrderOutcome,
  ): void {
    this.#options.metrics.count('experts.order.doubted', { kind, outcome });
    const fields = { upstream: upstream.id, kind, step, outcome };
    this.#writeLog(LogLevel.Info, 'An order is doubted.', fields);
  }

  recordSwitch(result: SwitchResult, version: number, tookMs: number): void {
    const { outcome } = result;
    this.#options.metrics.count('experts.switch', { outcome });
    this.#options.metrics.timing('experts.switch', tookMs, { outcome });
    this.#writeLog(LogLevel.Info, 'A switch of maps has ended.', {
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
