/** What the board says of an upstream: whether it takes work, its load and its limit. */
import { ConfigKind, DomainState } from '../config/object.js';
import { RefusalReason } from '../model/reason.js';
import type { SideReport } from '../model/report.js';
import { SideLinkState, type EntryBoard, type UpstreamState } from '../state/entryBoard.js';

/** Limit assumed of an upstream that has not reported yet. */
const UNREPORTED_LIMIT = 1;

/** Attempts that the upstream lets in at once, as last reported. */
export function readLimit(upstream: UpstreamState): number {
  return upstream.report?.limit ?? UNREPORTED_LIMIT;
}

/** Attempts expected there now: those of other entries as last reported, and this entry's own. */
export function readLoad(upstream: UpstreamState): number {
  return (upstream.othersInFlight ?? 0) + upstream.inFlight;
}

/** Whether an upstream has a model loaded; one that names no models may have any. */
export function hasModel(upstream: UpstreamState, model: string | undefined): boolean {
  if (model === undefined) return true;
  const models = upstream.report?.models ?? [];
  return models.length === 0 || models.includes(model);
}

/**
 * Takes a report in.
 *
 * What this entry has in flight is taken out of the reported load, and counted by itself from then
 * on: the end of an attempt gives room at once, not with the next report.
 */
export function takeReport(upstream: UpstreamState, report: SideReport, nowMs: number): void {
  const othersInFlight = Math.max(0, report.inFlight - upstream.inFlight);
  Object.assign(upstream, { report, reportAtMs: nowMs, sentSinceReport: 0, othersInFlight });
}

/** Notes that the gate of an upstream is full: until its next report the rest is others' work. */
export function noteFull(board: EntryBoard, name: string): void {
  const upstream = board.upstreams.get(name);
  if (!upstream) return;
  upstream.othersInFlight = Math.max(0, readLimit(upstream) - upstream.inFlight);
}

/** Counts an attempt that was sent to an upstream. */
export function countSent(board: EntryBoard, name: string): void {
  const upstream = board.upstreams.get(name);
  if (!upstream) return;
  upstream.inFlight += 1;
  upstream.sentSinceReport += 1;
}

/** Counts an attempt at an upstream that has ended. */
export function countEnded(board: EntryBoard, name: string): void {
  const upstream = board.upstreams.get(name);
  if (!upstream) return;
  upstream.inFlight = Math.max(0, upstream.inFlight - 1);
}

/**
 * Finds out why an upstream takes no new work.
 *
 * @returns undefined where it takes work
 */
export function findClosedReason(
  board: EntryBoard,
  upstream: UpstreamState,
): RefusalReason | undefined {
  const domain = board.config.get(ConfigKind.Domain, upstream.domain);
  if (!domain || domain.state === DomainState.Drained) return RefusalReason.DomainDrained;
  const object = board.config.get(ConfigKind.Upstream, upstream.name);
  if (!object || object.isStopped) return RefusalReason.UpstreamLeaving;
  if (upstream.isStopping) return RefusalReason.UpstreamLeaving;
  if (upstream.report?.isLeaving) return RefusalReason.UpstreamLeaving;
  if (upstream.report?.isDrained) return RefusalReason.DomainDrained;
  if (upstream.linkState !== SideLinkState.Open) return RefusalReason.NoUpstream;
  if (!upstream.link?.isOpen) return RefusalReason.NoUpstream;
  return undefined;
}

/**
 * Counts the attempts that this entry can have in flight in a pool.
 *
 * @returns undefined where the pool has no upstream that takes work
 */
export function countRoom(board: EntryBoard, pool: string): number | undefined {
  const open = [...board.upstreams.values()].filter(
    (upstream) => upstream.pool === pool && findClosedReason(board, upstream) === undefined,
  );
  if (open.length === 0) return undefined;
  return open.reduce((room, upstream) => {
    const others = upstream.othersInFlight ?? 0;
    return room + Math.max(0, readLimit(upstream) - others);
  }, 0);
}
