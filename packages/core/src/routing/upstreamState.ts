/** Functions on the board's state of an upstream: its availability, load and in-flight limit. */
import { ConfigKind, DomainState } from '../config/object.js';
import { RefusalReason } from '../model/reason.js';
import type { SideReport } from '../model/report.js';
import { SideLinkState, type EntryBoard, type UpstreamState } from '../state/entryBoard.js';

/** In-flight limit assumed for an upstream that has not reported yet. */
const UNREPORTED_LIMIT = 1;

/** Reads the in-flight limit of the upstream, as last reported. */
export function readLimit(upstream: UpstreamState): number {
  return upstream.report?.limit ?? UNREPORTED_LIMIT;
}

/** Estimates the attempts in flight: those of other entries as last reported, plus this entry's. */
export function readLoad(upstream: UpstreamState): number {
  return (upstream.othersInFlight ?? 0) + upstream.inFlight;
}

/** Whether an upstream may have a model loaded; one that reports no models may have any. */
export function hasModel(upstream: UpstreamState, model: string | undefined): boolean {
  if (model === undefined) return true;
  const models = upstream.report?.models ?? [];
  return models.length === 0 || models.includes(model);
}

/**
 * Applies a report to the state of its upstream.
 *
 * The attempts of this entry are subtracted from the reported load and counted separately, so that
 * an attempt that ends frees capacity at once and not only with the next report.
 */
export function applyReport(upstream: UpstreamState, report: SideReport, nowMs: number): void {
  const othersInFlight = Math.max(0, report.inFlight - upstream.inFlight);
  Object.assign(upstream, { report, reportAtMs: nowMs, sentSinceReport: 0, othersInFlight });
}

/**
 * Marks an upstream as full: until its next report, other entries count as using all the capacity
 * that this entry does not use.
 */
export function markFull(board: EntryBoard, name: string): void {
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

/** Counts the end of an attempt at an upstream. */
export function countEnded(board: EntryBoard, name: string): void {
  const upstream = board.upstreams.get(name);
  if (!upstream) return;
  upstream.inFlight = Math.max(0, upstream.inFlight - 1);
}

/**
 * Finds the reason why an upstream accepts no new attempts.
 *
 * @returns undefined if the upstream is available
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
 * Computes how many attempts this entry may have in flight in a pool.
 *
 * @returns undefined if no upstream of the pool is available
 */
export function computeInFlightLimit(board: EntryBoard, pool: string): number | undefined {
  const open = [...board.upstreams.values()].filter(
    (upstream) => upstream.pool === pool && findClosedReason(board, upstream) === undefined,
  );
  if (open.length === 0) return undefined;
  return open.reduce((total, upstream) => {
    const others = upstream.othersInFlight ?? 0;
    return total + Math.max(0, readLimit(upstream) - others);
  }, 0);
}
