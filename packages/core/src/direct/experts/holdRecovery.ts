/** Brings a group on that another entry, or this one before a pause, has left in a switch. */
import { areSame, type GroupRank, type GroupSurvey } from './groupSurvey.js';
import type { SteppedSwitch } from './steppedSwitch.js';

/** A pass that a rank holds back, and the map that was to be in force from it on. */
export interface ForsakenHold {
  readonly holder: GroupRank;
  readonly step: number;
  /** Undefined where no newer map is prepared on all ranks, nor armed on any. */
  readonly version: number | undefined;
}

/** Whether nothing is held or armed and all ranks have one map. */
export function isSettled({ ranks }: GroupSurvey): boolean {
  const isClean = ranks.every(
    ({ report }) => report.heldStep === undefined && report.armed === undefined,
  );
  return isClean && areSame(ranks.map(({ report }) => report.mapVersion));
}

/** The pass that is held, if there is one. */
export function findHold({ ranks }: GroupSurvey): ForsakenHold | undefined {
  const holder = ranks.find(({ report }) => report.heldStep !== undefined);
  if (holder?.report.heldStep === undefined) return undefined;
  const armed = ranks.find(({ report }) => report.armed !== undefined)?.report.armed;
  const prepared = ranks.map(({ report }) => report.preparedVersion);
  const version = armed?.version ?? (areSame(prepared) ? prepared[0] : undefined);
  const inForce = Math.max(...ranks.map(({ report }) => report.mapVersion));
  const isNewer = version !== undefined && version > inForce;
  return { holder, step: holder.report.heldStep, version: isNewer ? version : undefined };
}

/**
 * Lets a held pass begin.
 *
 * A switch that was begun is completed: whoever began it may be only paused, and goes on with the
 * same orders.
 */
export async function recoverHold(change: SteppedSwitch, hold: ForsakenHold): Promise<void> {
  if (hold.version === undefined) await change.release(hold.step, hold.holder);
  else await change.complete(hold.version, hold.step);
}
