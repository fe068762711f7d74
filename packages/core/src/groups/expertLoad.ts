/**
 * Measured load of the experts of a group, decayed over time.
 *
 * Each rank reports, for numbered windows, the tokens that reached each of its slots. A window
 * counts once all ranks have reported it. A window that a rank has missed is a gap, and the load is
 * not to be used until enough whole windows have followed.
 */
import { Err, Ok, type Result } from '../outcome.js';

import { EMPTY_SLOT, findSlot, type ExpertMap } from './expertMap.js';

/** Report of one rank about one window. */
export interface RankLoadReport {
  readonly rank: number;
  /** Number of the window; counts up by one in each rank. */
  readonly window: number;
  /** Map that was in force throughout the window. */
  readonly mapVersion: number;
  readonly steps: number;
  /** Tokens by layer and slot of this rank. */
  readonly tokens: readonly number[];
}

export enum LoadFault {
  /** Nothing whole has been reported for too long. */
  Stale = 'stale',
  /** A window is missing, and too few whole ones have followed. */
  Gap = 'gap',
}

export interface ExpertLoadOptions {
  /** Windows after which a measurement counts half. */
  readonly halfLifeWindows: number;
  /** Whole windows in a row that a plan needs. */
  readonly minWindows: number;
  readonly staleMs: number;
}

/** Tokens of a step, by layer and expert. */
export type ExpertTokens = Float64Array;

/** Windows waiting for reports at most; older ones become gaps. */
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

/** Collects reports into the decayed load. */
export class ExpertLoad {
  readonly #options: ExpertLoadOptions;

  #tokens: ExpertTokens | undefined;

  readonly #pendingWindows = new Map<number, Map<number, RankLoadReport>>();

  #lastWindow: number | undefined;

  #windowCount = 0;

  #lastCompleteAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: ExpertLoadOptions) {
    this.#options = options;
  }

  /** Takes a report in; reports under another map than the present one make no whole window. */
  add(report: RankLoadReport, map: ExpertMap, nowMs: number): void {
    if (this.#lastWindow !== undefined && report.window <= this.#lastWindow) return;
    const reports = this.#pendingWindows.get(report.window) ?? new Map<number, RankLoadReport>();
    reports.set(report.rank, report);
    this.#pendingWindows.set(report.window, reports);
    const isWhole = reports.size === map.shape.ranks;
    if (isWhole) this.#addWindow(report.window, [...reports.values()], map, nowMs);
    this.#dropOldWindows();
  }

  /**
   * Load to plan with.
   *
   * @returns tokens of a step, or why there is nothing to plan with
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
