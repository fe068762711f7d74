/** Brings a group on that another entry, or this one before a pause, has left in a switch. */
import { areEqual, type GroupRank, type GroupSurvey, type HeldPass } from './groupSurvey.js';
import type { Placement } from './mapSearch.js';
import type { BarrierSwitch } from './barrierSwitch.js';

/** A pass that a rank holds back, and the map that was to be in force from it on. */
export interface AbandonedHold extends HeldPass {
  /** Undefined where not all ranks are, or can be, armed with one newer map. */
  readonly version: number | undefined;
}

/** Whether nothing is held or armed and all ranks have one map. */
export function isSettled({ ranks }: GroupSurvey): boolean {
  const isClean = ranks.every(
    ({ report }) => report.heldStep === undefined && report.armed === undefined,
  );
  return isClean && areEqual(ranks.map(({ report }) => report.mapVersion));
}

/** Whether a rank is armed with a version for a pass, or can be. */
function canArm({ report }: GroupRank, version: number, step: number): boolean {
  if (report.armed) return report.armed.version === version && report.armed.step === step;
  return report.preparedVersion === version;
}

/** The pass that is held, if there is one. */
export function findHold({ ranks }: GroupSurvey): AbandonedHold | undefined {
  const holder = ranks.find(({ report }) => report.heldStep !== undefined);
  const step = holder?.report.heldStep;
  if (!holder || step === undefined) return undefined;
  const versionInForce = Math.max(...ranks.map(({ report }) => report.mapVersion));
  const reportedVersions = ranks.flatMap(({ report }) => [
    report.armed?.version,
    report.preparedVersion,
  ]);
  const newerVersions = reportedVersions.filter(
    (version) => version !== undefined && version > versionInForce,
  );
  const versions = [...new Set(newerVersions)].filter((version) => version !== undefined);
  const version = versions.find((candidate) =>
    ranks.every((rank) => canArm(rank, candidate, step)),
  );
  return { holder, step, versions, version };
}

export interface HoldRecovery {
  readonly mapSwitch: BarrierSwitch;
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
export async function recoverHold(hold: AbandonedHold, recovery: HoldRecovery): Promise<void> {
  const { mapSwitch, readPlacement, chooseVersion } = recovery;
  if (hold.version !== undefined) {
    await mapSwitch.complete(hold.version, hold.step);
    return;
  }
  const placement = await readPlacement();
  if (placement) await mapSwitch.abort(hold, placement, chooseVersion);
}
