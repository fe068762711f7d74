/** What logs and metrics say of one pool's expert maps. */
import { LogLevel, type Log, type LogFields } from '../../ports/log.js';
import type { Metrics } from '../../ports/metrics.js';

import type { GroupRank } from './groupSurvey.js';
import type { ForsakenHold } from './holdRecovery.js';
import type { FoundMap } from './mapSearch.js';
import type { OrderOutcome, RankCommand } from './rankCaller.js';
import type { SwitchResult } from './steppedSwitch.js';

const LOG_PART = 'experts';

export interface MapReportOptions {
  readonly pool: string;
  readonly log: Log;
  readonly metrics: Metrics;
}

function roundSkew(skew: number): number {
  return Math.round(skew * 100) / 100;
}

/** Writes the lines and counts of one pool's maps. */
export class MapReport {
  readonly #options: MapReportOptions;

  #wasGiver = false;

  constructor(options: MapReportOptions) {
    this.#options = options;
  }

  /** Hears in each round whether this entry gives the maps. */
  noteGiver(isGiver: boolean, peersHeard: number): void {
    if (isGiver === this.#wasGiver) return;
    this.#wasGiver = isGiver;
    const sentence = isGiver ? 'This entry gives the maps.' : 'This entry gives no maps now.';
    this.#write(LogLevel.Info, sentence, { peersHeard });
  }

  noteHold({ step, version }: ForsakenHold): void {
    this.#options.metrics.count('experts.hold_found');
    this.#write(LogLevel.Warn, 'A pass is held that nobody lets begin.', { step, version });
  }

  notePlan(found: FoundMap, samples: number, isWorth: boolean): void {
    this.#write(LogLevel.Info, isWorth ? 'A better map is planned.' : 'The map stays.', {
      skewBefore: roundSkew(found.skewBefore),
      skewAfter: roundSkew(found.skewAfter),
      copies: found.copies,
      samples,
    });
  }

  noteShift(): void {
    this.#options.metrics.count('experts.shift');
    this.#write(LogLevel.Info, 'Demand for experts has shifted.', {});
  }

  noteDoubt({ upstream }: GroupRank, { kind, step }: RankCommand, outcome: OrderOutcome): void {
    this.#options.metrics.count('experts.order.doubted', { kind, outcome });
    const fields = { upstream: upstream.id, kind, step, outcome };
    this.#write(LogLevel.Info, 'An order is doubted.', fields);
  }

  noteSwitch(result: SwitchResult, version: number, tookMs: number): void {
    const { outcome } = result;
    this.#options.metrics.count('experts.switch', { outcome });
    this.#options.metrics.timing('experts.switch', tookMs, { outcome });
    this.#write(LogLevel.Info, 'A switch of maps has ended.', {
      ...result,
      version,
      tookMs: Math.round(tookMs),
    });
  }

  #write(level: LogLevel, sentence: string, fields: LogFields): void {
    const { log, pool } = this.#options;
    log.write(level, LOG_PART, sentence, { pool, ...fields });
  }
}
