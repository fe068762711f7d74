/**
 * A stand-in for a group of ranks in lock-step, and the record of the map that each rank used.
 *
 * A step begins only when all ranks are ready at the boundary; each then uses the map that it has
 * in force. The record is the judge of whether all used the same one.
 */
import type { ExpertMap } from '@radishbay/core/groups/expertMap.js';

import { RankEngine } from './rankEngine.js';

export interface RankGroupOptions {
  readonly ranks: number;
  readonly isFencingChecked: boolean;
  readonly stepMs: number;
}

/** Map versions of one step, by rank. */
export interface StepRecord {
  readonly step: number;
  readonly startedAtMs: number;
  readonly versions: readonly number[];
}

/** Ranks that step together. */
export class RankGroup {
  readonly engines: readonly RankEngine[];

  readonly record: StepRecord[] = [];

  readonly #stepMs: number;

  #isStepping = false;

  constructor(options: RankGroupOptions) {
    this.#stepMs = options.stepMs;
    this.engines = Array.from(
      { length: options.ranks },
      () => new RankEngine(this, options.isFencingChecked),
    );
  }

  get isStepping(): boolean {
    return this.#isStepping;
  }

  get steps(): number {
    return this.record.length;
  }

  /** Steps in which not all ranks used the same map. */
  get mixedSteps(): readonly StepRecord[] {
    return this.record.filter((step) => new Set(step.versions).size !== 1);
  }

  /** Longest time between the end of one step and the start of the next. */
  get longestStallMs(): number {
    const gaps = this.record.map((step, index) => {
      const before = this.record[index - 1];
      return before ? step.startedAtMs - before.startedAtMs - this.#stepMs : 0;
    });
    return Math.max(0, ...gaps);
  }

  /** Puts a first map on all ranks and begins to step. */
  boot(map: ExpertMap): void {
    this.engines.forEach((engine) => engine.boot(map));
    this.wake();
  }

  /** Begins a step if all ranks are ready. */
  wake(): void {
    if (this.#isStepping || !this.engines.every((engine) => engine.isReady)) return;
    this.#isStepping = true;
    this.record.push({
      step: this.record.length,
      startedAtMs: Date.now(),
      versions: this.engines.map((engine) => engine.mapVersion),
    });
    setTimeout(() => this.#endStep(), this.#stepMs).unref();
  }

  #endStep(): void {
    this.#isStepping = false;
    this.engines.forEach((engine) => engine.passBoundary());
    this.wake();
  }
}
