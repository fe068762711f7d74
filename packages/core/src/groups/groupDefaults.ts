/** Default settings of group coordination; the design note gives their reasons. */
import type { ExpertLoadOptions } from './expertLoad.js';
import type { PlanOptions } from './layerPlanner.js';
import type { StragglerOptions } from './stragglerDetector.js';

/** Interval of the control loop; one step plans a few moves at most. */
export const LOOP_INTERVAL_MS = 100;

/** Interval at which the lease holder reads the load of the ranks. */
export const LOAD_INTERVAL_MS = 5_000;

/** Interval at which a group is checked for an abandoned hold. */
export const HOLD_CHECK_INTERVAL_MS = 1_000;

/** Shortest hold that counts as abandoned: longer than a step and the longest wait for a reply. */
export const HOLD_LIMIT_MS = 3_000;

/** Shortest time between the starts of two plans. */
export const PLAN_INTERVAL_MS = 20_000;

/** Interval at which all ranks are read, and repaired where they differ. */
export const CHECK_INTERVAL_MS = 5_000;

export const PLAN_OPTIONS: PlanOptions = {
  tokenMs: 0.5 / 2048,
  horizonSteps: 3_000,
  loadCostMs: 12,
  stallMs: 5,
  minSavedShare: 0.002,
  maxLoads: 240,
  maxLayerMoves: 8,
};

export const LOAD_OPTIONS: ExpertLoadOptions = {
  halfLifeWindows: 2,
  minWindows: 2,
  staleMs: 30_000,
};

export const STRAGGLER_OPTIONS: StragglerOptions = {
  batchMs: 0.4 / 256,
  tokenMs: 0.5 / 2048,
  slowAbove: 1.12,
  normalBelow: 1.05,
  raiseWindows: 2,
  lowerWindows: 4,
  leaveAbove: 3,
  smoothing: 0.5,
};
