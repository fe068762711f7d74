/**
 * Measured load of the experts of a group, as an exponentially weighted moving average.
 *
 * Each rank reports, for numbered windows, the tokens that reached each of its slots. A window is
 * complete once all ranks have reported it. A window that some rank did not report is a gap, and
 * the load cannot be used until enough complete windows have followed it.
 */
import { Err, Ok, type Result } from '../outcome.js';

import { EMPTY_SLOT, findSlot, type ExpertMap } from './expertMap.js';

/** Report of one rank for one window. */
export interface RankLoadReport {
  readonly rank: number;
  /** Number of the window; each rank increments it by one. */
  readonly window: number;
  /** Map that was in force throughout the window. */
  readonly mapVersion: number;
  /** Steps in the window. */
  readonly steps: number;
  /** Tokens by layer and slot of this rank, over all steps of the window. */
  readonly tokens: readonly number[];
}

/** Why there is no usable load. */
export enum LoadFault {
  /** No complete window has been reported for too long. */
  Stale = 'stale',
  /** Too few complete windows have followed a gap or the start. */
  Gap = 'gap',
}

export interface ExpertLoadOptions {
  /** Number of windows after which the weight of a measurement has halved. */
  readonly halfLifeWindows: number;
  /** Consecutive complete windows that a plan needs. */
  readonly minWindows: number;
  /** Age of the last complete window above which the load is stale. */
  readonly staleMs: number;
}

/** Tokens per step, by layer and expert. */
export type ExpertTokens = Float64Array;

/** Most windows that wait for reports; beyond it the oldest one becomes a gap. */
const MAX_PENDING_WINDOWS = 4;

function sumTokens(reports: readonly RankLoadReport[], map: ExpertMap): ExpertTokens {
  const { layers, experts, slotsPerRank } = map.shape;
  const tokens = new Float64Array(layers * experts);
  reports.forEach((report) => {
    const steps = Math.max(1, report.steps);
    report.tokens.forEach((count, index) => {
      const layer = Math.floor(index / slotsPerRank);
      const slot = findSlot(map.shape, layer, report.rank) + (index % slotsPerRank);
      const expert = map.slots[slot] ?? EMPTY_SLOT;
      if (expert === EMPTY_SLOT) return;
      const at = layer * experts + expert;
      tokens[at] = (tokens[at] ?? 0) + count / steps;
    });
  });
  return tokens;
}

/** Aggregates reports into the averaged load. */
export class ExpertLoad {
  readonly #options: ExpertLoadOptions;

  #tokens: ExpertTokens | undefined;

  readonly #pendingWindows = new Map<number, Map<number, RankLoadReport>>();

  #lastWindow: number | undefined;

  /** Consecutive complete windows since the last gap. */
  #windowCount = 0;

  #lastCompleteAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: ExpertLoadOptions) {
    this.#options = options;
  }

  /** Adds a report; a window with a report under another map than `map` does not count. */
  add(report: RankLoadReport, map: ExpertMap, nowMs: number): void {
    if (this.#lastWindow !== undefined && report.window <= this.#lastWindow) return;
    const reports = this.#pendingWindows.get(report.window) ?? new Map<number, RankLoadReport>();
    reports.set(report.rank, report);
    this.#pendingWindows.set(report.window, reports);
    const isComplete = reports.size === map.shape.ranks;
    if (isComplete) this.#addWindow(report.window, [...reports.values()], map, nowMs);
    this.#dropOldWindows();
  }

  /**
   * Returns the load to plan with.
   *
   * @returns tokens per step, or the reason why there is no usable load
   */
  read(nowMs: number): Result<ExpertTokens, LoadFault> {
    if (nowMs - this.#lastCompleteAtMs > this.#options.staleMs) return Err(LoadFault.Stale);
    if (!this.#tokens || this.#windowCount < this.#options.minWindows) return Err(LoadFault.Gap);
    return Ok(this.#tokens);
  }

  #addWindow(
    window: number,
    reports: readonly RankLoadReport[],
    map: ExpertMap,
    nowMs: number,
  ): void {
    const isAfterGap = this.#lastWindow !== undefined && window !== this.#lastWindow + 1;
    const isMixed = reports.some((report) => report.mapVersion !== map.version);
    this.#lastWindow = window;
    this.#pendingWindows.delete(window);
    if (isMixed) return;
    this.#windowCount = isAfterGap ? 1 : this.#windowCount + 1;
    this.#lastCompleteAtMs = nowMs;
    this.#blend(sumTokens(reports, map));
  }

  #blend(measured: ExpertTokens): void {
    if (!this.#tokens) {
      this.#tokens = measured;
      return;
    }
    const keep = 0.5 ** (1 / this.#options.halfLifeWindows);
    this.#tokens = this.#tokens.map(
      (tokens, index) => keep * tokens + (1 - keep) * (measured[index] ?? 0),
    );
  }

  #dropOldWindows(): void {
    if (this.#pendingWindows.size <= MAX_PENDING_WINDOWS) return;
    const oldest = Math.min(...this.#pendingWindows.keys());
    this.#pendingWindows.delete(oldest);
    this.#windowCount = 0;
  }
}
