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
const READ_MS = 800;

/** The same while there are too few samples to plan: some passes. */
const READ_SOON_MS = 350;

/**
 * The same while the group has no work: just below the longest span of a sample, so that the first
 * reading under load makes one.
 */
const READ_IDLE_MS = 2_200;

/** Readings after a hint of a shift: where samples of the new demand begin, and the first ones. */
const URGENT_READINGS = 2;

/** Ranks that are read while there are too few samples. */
const READ_MAX = 2;

/** Samples from which a map is planned. */
export const SAMPLES_MIN = 2;

/** What a reading told. */
export interface DemandReading {
  /** Whether demand has shifted; samples of before it are forgotten then. */
  readonly isShift: boolean;
  /** Whether a rank did not answer, or is of another epoch by now. */
  readonly isLost: boolean;
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
  #readAtMs = 0;

  #lastReadAtMs = Number.NEGATIVE_INFINITY;

  /** Readings that are still to be made soon, of more than one rank. */
  #urgentReadings = 0;

  constructor(options: DemandReaderOptions) {
    this.#options = options;
  }

  /**
   * Whether it is time to read.
   *
   * @param isBusy whether the group has work
   */
  isDue(nowMs: number, isBusy: boolean): boolean {
    return nowMs >= (isBusy ? this.#readAtMs : this.#lastReadAtMs + READ_IDLE_MS);
  }

  /** Reads soon, as demand seems to have shifted. */
  hurry(nowMs: number): void {
    this.#urgentReadings = URGENT_READINGS;
    this.#readAtMs = Math.min(this.#readAtMs, nowMs);
  }

  /** Samples to plan by. */
  list(nowMs: number): readonly Float64Array[] {
    return this.#samples.list(nowMs);
  }

  /** The same ranks are read as long as they get requests: between two readings lies a sample. */
  async read(survey: GroupSurvey, nowMs: number): Promise<DemandReading> {
    const { board } = this.#options;
    this.#lastReadAtMs = nowMs;
    const served = survey.ranks.filter(
      ({ upstream }) => !upstream.isLeaving && !board.isClosed(upstream.entry.domain),
    );
    const isFew = this.#samples.countRecent(nowMs) < SAMPLES_MIN;
    const isShort = isFew || this.#urgentReadings > 0;
    this.#urgentReadings = Math.max(0, this.#urgentReadings - 1);
    const reading = await this.#readRanks(survey, served.slice(0, isShort ? READ_MAX : 1));
    this.#readAtMs = nowMs + (isShort || reading.isShift ? READ_SOON_MS : READ_MS);
    // The others' next readings make samples only from now on.
    if (reading.isShift && !isShort) await this.#readRanks(survey, served.slice(1, READ_MAX));
    return reading;
  }

  async #readRanks(survey: GroupSurvey, ranks: readonly GroupRank[]): Promise<DemandReading> {
    const { caller } = this.#options;
    const read = await Promise.all(ranks.map(({ upstream }) => caller.readCounts(upstream.entry)));
    let isShift = false;
    let isLost = false;
    read.forEach((counts, at) => {
      const id = ranks[at]?.upstream.id ?? '';
      if (!counts.ok || counts.val.epoch !== survey.epoch) isLost = true;
      else if (this.#samples.add(id, counts.val, performance.now())) isShift = true;
    });
    return { isShift, isLost };
  }
}
