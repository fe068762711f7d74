/**
 * Reads which experts a group's requests choose, as rarely as shifts of demand allow.
 *
 * Each reading is priced and stops the group for a moment. One rank tells of a shift; more are read
 * only until there are enough samples to plan.
 */
import type { FleetBoard } from '../fleetBoard.js';

import { DemandSamples } from './demandSamples.js';
import type { GroupRank, GroupSurvey } from './groupSurvey.js';
import type { RankCaller } from './rankCaller.js';

/** Interval at which one rank is read; demand shifts each three seconds at the worst. */
const READ_INTERVAL_MS = 800;

/** The same while there are too few samples to plan: some passes. */
const READ_INTERVAL_FAST_MS = 350;

/**
 * The same while the group has no work: just below the longest span of a sample, so that the first
 * reading under load makes one.
 */
const READ_INTERVAL_IDLE_MS = 2_200;

/** Readings after a hint of a shift: where samples of the new demand begin, and the first ones. */
const FAST_READINGS = 2;

/** Ranks that are read while there are too few samples. */
const RANKS_READ_MAX = 2;

/** Samples from which a map is planned. */
export const SAMPLES_MIN = 2;

/** What a reading told. */
export interface DemandReading {
  /** Whether demand has shifted; samples of before it are forgotten then. */
  readonly hasShifted: boolean;
  /** Whether a rank did not answer, or is of another epoch by now. */
  readonly hasFailed: boolean;
}

export interface DemandReaderOptions {
  readonly board: FleetBoard;
  readonly caller: RankCaller;
}

/** Demand of one group. */
export class DemandReader {
  readonly #options: DemandReaderOptions;

  readonly #samples = new DemandSamples();

  /** When the next reading is due under load. */
  #nextReadAtMs = 0;

  #lastReadAtMs = Number.NEGATIVE_INFINITY;

  /** Readings that are still to be made soon, of more than one rank. */
  #fastReadingsLeft = 0;

  constructor(options: DemandReaderOptions) {
    this.#options = options;
  }

  /**
   * Whether it is time to read.
   *
   * @param isBusy whether the group has work
   */
  isDue(nowMs: number, isBusy: boolean): boolean {
    return nowMs >= (isBusy ? this.#nextReadAtMs : this.#lastReadAtMs + READ_INTERVAL_IDLE_MS);
  }

  /** Reads soon, as demand seems to have shifted. */
  speedUp(nowMs: number): void {
    this.#fastReadingsLeft = FAST_READINGS;
    this.#nextReadAtMs = Math.min(this.#nextReadAtMs, nowMs);
  }

  /** Samples to plan by. */
  listSamples(nowMs: number): readonly Float64Array[] {
    return this.#samples.listSamples(nowMs);
  }

  /** The same ranks are read as long as they get requests: between two readings lies a sample. */
  async read(survey: GroupSurvey, nowMs: number): Promise<DemandReading> {
    const { board } = this.#options;
    this.#lastReadAtMs = nowMs;
    const servingRanks = survey.ranks.filter(
      ({ upstream }) => !upstream.isLeaving && !board.isClosed(upstream.entry.domain),
    );
    const hasFewSamples = this.#samples.countRecent(nowMs) < SAMPLES_MIN;
    const isFast = hasFewSamples || this.#fastReadingsLeft > 0;
    this.#fastReadingsLeft = Math.max(0, this.#fastReadingsLeft - 1);
    const reading = await this.#readRanks(
      survey,
      servingRanks.slice(0, isFast ? RANKS_READ_MAX : 1),
    );
    this.#nextReadAtMs =
      nowMs + (isFast || reading.hasShifted ? READ_INTERVAL_FAST_MS : READ_INTERVAL_MS);
    // The others' next readings make samples only from now on.
    if (reading.hasShifted && !isFast) await this.#readRanks(survey, servingRanks.slice(1, RANKS_READ_MAX));
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
