/** Recovers a group from an unfinished switch of another entry, or of this one before a pause. */
import { areEqual, type GroupRank, type GroupSurvey, type HeldPass } from './groupSurvey.js';
import type { Placement } from './mapSearch.js';
import type { BarrierSwitch } from './barrierSwitch.js';

/** A held pass and the version of the map that was to take effect with it. */
export interface AbandonedHold extends HeldPass {
  /** Undefined if no newer version is armed or can be armed on every rank. */
  readonly version: number | undefined;
}

/** Whether no pass is held, no rank is armed, and all ranks have the same map. */
export function isSettled({ ranks }: GroupSurvey): boolean {
  const isClean = ranks.every(
    ({ report }) => report.heldStep === undefined && report.armed === undefined,
  );
  return isClean && areEqual(ranks.map(({ report }) => report.mapVersion));
}

/** Whether a rank is armed with a version for a pass, or has prepared that version. */
function canArm({ report }: GroupRank, version: number, step: number): boolean {
  if (report.armed) return report.armed.version === version && report.armed.step === step;
  return report.preparedVersion === version;
}

/** Finds the held pass, if there is one. */
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
  /** Reads the map in force; undefined if a read fails or the ranks have different maps. */
  readonly readPlacement: () => Promise<Placement | undefined>;
  /** Returns a version above all that the ranks have had, a new one with each call. */
  readonly chooseVersion: () => number;
}

/**
 * Releases a held pass.
 *
 * The unfinished switch is completed if possible: the entry that began it may only be paused, and
 * would continue with the same orders. If a rank has another map in place of the new one, no entry
 * can complete the switch, so it is aborted.
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
