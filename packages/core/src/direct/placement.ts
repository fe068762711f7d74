/**
 * Chooses the upstream of a request.
 *
 * Engines of a group work in lock-step, so the fullest one sets the pace of all: the one with the
 * least work goes first, and one that reads no other prompt right now goes before its equals. A
 * slow one gets less.
 */
import type { DirectUpstream } from './directUpstream.js';
import type { FleetBoard } from './fleetBoard.js';

/** Weight of a prompt that is read or about to be, against a request in flight. */
const PREFILL_WEIGHT = 0.6;

/** Advantage of the entry's own failure domain: it only breaks ties. */
const OWN_DOMAIN_BONUS = 0.1;

/** Range of the random part: it spreads the entries' choices among equals. */
const JITTER_RANGE = 0.3;

/** Pace from which an upstream gets no requests while there are others. */
const SLOWDOWN_MAX = 2.5;

/** Part of a pool that has to be trusted; with fewer, distrusted upstreams are used as well. */
const HEALTHY_FRACTION_MIN = 0.5;

export interface PlacementQuery {
  readonly pool: string;
  readonly excluded: ReadonlySet<string>;
  /** Requests in flight that one upstream may have. */
  readonly limit: number;
  /** Requests that this entry may start at one upstream in a second. */
  readonly startsPerS: number;
  readonly nowMs: number;
  /** Random number from 0 up to, but not including, 1. */
  readonly draw: () => number;
}

/** What there is for a request. */
export interface PlacementResult {
  readonly upstream: DirectUpstream | undefined;
  /** Upstreams that would take work if they were less busy. */
  readonly availableCount: number;
}

function isInService(board: FleetBoard, upstream: DirectUpstream): boolean {
  return !upstream.isLeaving && !board.isClosed(upstream.entry.domain);
}

function isAvailable(board: FleetBoard, upstream: DirectUpstream, nowMs: number): boolean {
  return isInService(board, upstream) && !upstream.isBackingOff(nowMs);
}

/** Time until the first upstream takes work again, where all that stay want none for a while. */
export function readBackoffMs(board: FleetBoard, pool: string, nowMs: number): number | undefined {
  const inService = board.listPool(pool).filter((upstream) => isInService(board, upstream));
  if (inService.length === 0) return undefined;
  const backoffMs = Math.min(...inService.map((upstream) => upstream.readBackoffMs(nowMs)));
  return backoffMs > 0 ? backoffMs : undefined;
}

function scoreUpstream(board: FleetBoard, upstream: DirectUpstream, query: PlacementQuery): number {
  const domainBonus = upstream.entry.domain === board.domain ? OWN_DOMAIN_BONUS : 0;
  const work =
    board.countLoad(upstream, query.nowMs) + upstream.awaitingFirstOutput * PREFILL_WEIGHT;
  const load = work * upstream.readSlowdown(query.nowMs);
  return load - domainBonus + query.draw() * JITTER_RANGE;
}

/** Upstreams that neither fail nor are so slow that they would hold their group up. */
function pickHealthy(
  available: readonly DirectUpstream[],
  nowMs: number,
): readonly DirectUpstream[] {
  const healthy = available.filter(
    (upstream) =>
      !upstream.ejection.isEjected(nowMs) && upstream.readSlowdown(nowMs) < SLOWDOWN_MAX,
  );
  return healthy.length >= available.length * HEALTHY_FRACTION_MIN ? healthy : available;
}

/** Chooses the upstream for a request, if one has room. */
export function choosePlacement(board: FleetBoard, query: PlacementQuery): PlacementResult {
  const { pool, excluded, limit, startsPerS, nowMs } = query;
  const available = board.listPool(pool).filter((upstream) => isAvailable(board, upstream, nowMs));
  const eligible = pickHealthy(available, nowMs).filter(
    (upstream) =>
      !excluded.has(upstream.id) &&
      board.countLoad(upstream, nowMs) + 1 <= Math.max(1, limit / upstream.readSlowdown(nowMs)) &&
      upstream.startRate.count(nowMs) < startsPerS,
  );
  const scored = eligible.map((upstream) => ({
    upstream,
    score: scoreUpstream(board, upstream, query),
  }));
  const best = scored.reduce<(typeof scored)[number] | undefined>(
    (least, each) => (least && least.score <= each.score ? least : each),
    undefined,
  );
  return { upstream: best?.upstream, availableCount: available.length };
}
