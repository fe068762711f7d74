/** Reads the reports of all ranks of a group at one time. */
import type { DirectUpstream } from '../directUpstream.js';

import type { RankCaller, RankReport } from './rankCaller.js';

/** A rank of a group with its report. */
export interface GroupRank {
  readonly upstream: DirectUpstream;
  readonly report: RankReport;
}

/** A complete group whose ranks are all open and in the same epoch. */
export interface GroupSurvey {
  readonly group: string;
  readonly epoch: number;
  /** When the reports were read. */
  readonly takenAtMs: number;
  /** Ordered by rank number. */
  readonly ranks: readonly GroupRank[];
}

/** A pass that a rank keeps the group from beginning. */
export interface HeldPass {
  readonly holder: GroupRank;
  readonly step: number;
  /** Versions newer than the map in force that ranks are armed with or have prepared. */
  readonly versions: readonly number[];
}

/** Whether all values are equal. */
export function areEqual<T>(values: readonly T[]): boolean {
  return values.every((value) => value === values[0]);
}

async function readRank(
  caller: RankCaller,
  upstream: DirectUpstream,
): Promise<GroupRank | undefined> {
  const report = await caller.readReport(upstream.entry);
  return report.ok ? { upstream, report: report.val } : undefined;
}

function createSurvey(ranks: readonly GroupRank[]): GroupSurvey | undefined {
  const first = ranks[0]?.report;
  if (!first) return undefined;
  const ordered = [...ranks].sort((a, b) => a.report.rank - b.report.rank);
  const isComplete =
    ordered.length === first.size && ordered.every(({ report }, at) => report.rank === at);
  const isOpen = ordered.every(({ report }) => report.isOpen);
  const isOneEpoch = areEqual(ordered.map(({ report }) => report.epoch));
  if (!isComplete || !isOpen || !isOneEpoch) return undefined;
  const { group, epoch } = first;
  return { group, epoch, takenAtMs: performance.now(), ranks: ordered };
}

/**
 * Reads the reports of all upstreams of a pool.
 *
 * @returns the groups that are complete and open; others are left out
 */
export async function surveyGroups(
  caller: RankCaller,
  upstreams: readonly DirectUpstream[],
): Promise<readonly GroupSurvey[]> {
  const results = await Promise.all(upstreams.map((upstream) => readRank(caller, upstream)));
  const reachable = results.filter((rank) => rank !== undefined);
  const names = [...new Set(reachable.map(({ report }) => report.group))];
  return names
    .map((name) => createSurvey(reachable.filter(({ report }) => report.group === name)))
    .filter((survey) => survey !== undefined);
}
