/**
 * Reads the demand for a group's experts, as rarely as shifts in demand allow.
 *
 * Each reading has a cost and stops the group for a moment. One rank is enough to detect a shift;
 * more ranks are read only until there are enough samples to plan a map.
 */
import type { FleetBoard } from '../fleetBoard.js';

import { DemandSamples } from './demandSamples.js';
import type { GroupRank, GroupSurvey } from './groupSurvey.js';
import type { RankCaller } from './rankCaller.js';

/** Interval at which one rank is read; in the worst case, demand shifts every 3 s. */
const READ_INTERVAL_MS = 800;

/** Interval while there are too few samples to plan, or demand may have shifted: some passes. */
const READ_INTERVAL_FAST_MS = 350;

/**
 * Interval while the group is idle: just below the maximum time between two readings of a sample,
 * so that the first reading under load forms a sample.
 */
const READ_INTERVAL_IDLE_MS = 2_200;

/** Fast readings after signs of a shift: one to start new samples, one to form the first ones. */
const FAST_READINGS = 2;

/** Ranks that are read while there are too few samples, or demand may have shifted. */
const RANKS_MAX = 2;

/** Minimum number of samples to plan a map. */
export const SAMPLES_MIN = 2;

/** Result of a reading. */
export interface DemandReading {
  /** Whether demand has shifted; the samples from before are dropped then. */
  readonly hasShifted: boolean;
  /** Whether a rank did not answer or is in another epoch by now. */
  readonly hasFailed: boolean;
}

export interface DemandReaderOptions {
  readonly board: FleetBoard;
  readonly caller: RankCaller;
}

/** Reads the demand of one group. */
export class DemandReader {
  readonly #options: DemandReaderOptions;

  readonly #samples = new DemandSamples();

  /** When the next reading is due under load. */
  #readAtMs = 0;

  #lastReadAtMs = Number.NEGATIVE_INFINITY;

  /** Remaining readings at the fast interval and of more than one rank. */
  #fastReadingsLeft = 0;

  constructor(options: DemandReaderOptions) {
    this.#options = options;
  }

  /**
   * Whether the next reading is due.
   *
   * @param isBusy whether the group has requests
   */
  isDue(nowMs: number, isBusy: boolean): boolean {
    return nowMs >= (isBusy ? this.#readAtMs : this.#lastReadAtMs + READ_INTERVAL_IDLE_MS);
  }

  /** Makes the next reading due at once, as demand seems to have shifted. */
  speedUp(nowMs: number): void {
    this.#fastReadingsLeft = FAST_READINGS;
    this.#readAtMs = Math.min(this.#readAtMs, nowMs);
  }

  /** Samples to plan a map by. */
  listSamples(nowMs: number): readonly Float64Array[] {
    return this.#samples.listSamples(nowMs);
  }

  /**
   * Reads the counts of the first ranks that get requests. Two readings of a rank form a sample, so
   * the same ranks are read each time.
   */
  async read(survey: GroupSurvey, nowMs: number): Promise<DemandReading> {
    const { board } = this.#options;
    this.#lastReadAtMs = nowMs;
    const serving = survey.ranks.filter(
      ({ upstream }) => !upstream.isLeaving && !board.isDomainClosed(upstream.entry.domain),
    );
    const hasFewSamples = this.#samples.countRecent(nowMs) < SAMPLES_MIN;
    const isFast = hasFewSamples || this.#fastReadingsLeft > 0;
    this.#fastReadingsLeft = Math.max(0, this.#fastReadingsLeft - 1);
    const reading = await this.#readRanks(survey, serving.slice(0, isFast ? RANKS_MAX : 1));
    this.#readAtMs =
      nowMs + (isFast || reading.hasShifted ? READ_INTERVAL_FAST_MS : READ_INTERVAL_MS);
    // A first reading of the other ranks, with which their next ones form samples of new demand.
    if (reading.hasShifted && !isFast) await this.#readRanks(survey, serving.slice(1, RANKS_MAX));
    return reading;
  }

  async #readRanks(survey: GroupSurvey, ranks: readonly GroupRank[]): Promise<DemandReading> {
    const { caller } = this.#options;
    const results = await Promise.all(
      ranks.map(({ upstream }) => caller.readCounts(upstream.entry)),
    );
    let hasShifted = false;
    let hasFailed = false;
    results.forEach((counts, at) => {
      const id = ranks[at]?.upstream.id ?? '';
      if (!counts.ok || counts.val.epoch !== survey.epoch) hasFailed = true;
      else if (this.#samples.addReading(id, counts.val, performance.now())) hasShifted = true;
    });
    return { hasShifted, hasFailed };
  }
}
