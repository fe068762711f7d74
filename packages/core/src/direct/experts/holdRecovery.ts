/** Brings a group on that another entry, or this one before a pause, has left in a switch. */
import { areSame, type GroupRank, type GroupSurvey, type HeldPass } from './groupSurvey.js';
import type { Placement } from './mapSearch.js';
import type { SteppedSwitch } from './steppedSwitch.js';

/** A pass that a rank holds back, and the map that was to be in force from it on. */
export interface ForsakenHold extends HeldPass {
  /** Undefined where not all ranks are, or can be, armed with one newer map. */
  readonly version: number | undefined;
}

/** Whether nothing is held or armed and all ranks have one map. */
export function isSettled({ ranks }: GroupSurvey): boolean {
  const isClean = ranks.every(
    ({ report }) => report.heldStep === undefined && report.armed === undefined,
  );
  return isClean && areSame(ranks.map(({ report }) => report.mapVersion));
}

/** Whether a rank is armed with a version for a pass, or can be. */
function canBegin({ report }: GroupRank, version: number, step: number): boolean {
  if (report.armed) return report.armed.version === version && report.armed.step === step;
  return report.preparedVersion === version;
}

/** The pass that is held, if there is one. */
export function findHold({ ranks }: GroupSurvey): ForsakenHold | undefined {
  const holder = ranks.find(({ report }) => report.heldStep !== undefined);
  const step = holder?.report.heldStep;
  if (!holder || step === undefined) return undefined;
  const inForce = Math.max(...ranks.map(({ report }) => report.mapVersion));
  const told = ranks.flatMap(({ report }) => [report.armed?.version, report.preparedVersion]);
  const newer = told.filter((version) => version !== undefined && version > inForce);
  const versions = [...new Set(newer)].filter((version) => version !== undefined);
  const version = versions.find((each) => ranks.every((rank) => canBegin(rank, each, step)));
  return { holder, step, versions, version };
}

export interface HoldRecovery {
  readonly change: SteppedSwitch;
  /** The map in force; undefined where ranks do not agree on it. */
  readonly readPlacement: () => Promise<Placement | undefined>;
  /** Gives a version above all that ranks have had, with each call. */
  readonly chooseVersion: () => number;
}

/**
 * Lets a held pass begin.
 *
 * A switch that was begun is completed where it can be: whoever began it may be only paused, and
 * goes on with the same orders. Where a rank has another map in its place, nobody can complete it.
 */
export async function recoverHold(hold: ForsakenHold, recovery: HoldRecovery): Promise<void> {
  const { change, readPlacement, chooseVersion } = recovery;
  if (hold.version !== undefined) {
    await change.complete(hold.version, hold.step);
    return;
  }
  const placement = await readPlacement();
  if (placement) await change.clear(hold, placement, chooseVersion);
}
