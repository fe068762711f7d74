/**
 * Chooses the upstream of a request.
 *
 * The engines of a group work in lock-step, so the most loaded one determines the pass time of all.
 * A request that declares its size goes where a pass with it is shortest, by the work left there.
 * Any other goes where the fewest requests are; of equally loaded upstreams, to one that has no
 * other prefill in progress. A slow upstream receives less.
 */
import { drawOption } from '../routing/spread.js';

import { sampleCandidates } from './candidateSample.js';
import type { WorkWeights } from './cost/poolCost.js';
import type { DirectUpstream } from './directUpstream.js';
import type { FleetBoard } from './fleetBoard.js';

/**
 * Weight of a request that awaits its first output (its prefill is queued or in progress), in
 * addition to its weight of 1 as a request in flight.
 */
const PREFILL_WEIGHT = 0.6;

/** Score advantage of upstreams in the entry's own failure domain; it only breaks ties. */
const OWN_DOMAIN_BONUS = 0.1;

/** The same where upstreams are weighed by their work, of which small differences count. */
const OWN_DOMAIN_TIE = 0.01;

/**
 * Range of the random score term, which spreads the choices of several entries among equal
 * upstreams.
 */
const JITTER_RANGE = 0.3;

/** Slowdown factor from which an upstream receives no requests while there are others. */
const SLOWDOWN_MAX = 2.5;

/** Part of a pool that has to be healthy; with fewer, unhealthy upstreams are used as well. */
const HEALTHY_FRACTION_MIN = 0.5;

export interface PlacementQuery {
  readonly pool: string;
  readonly excluded: ReadonlySet<string>;
  /** Limit of the requests in flight at one upstream. */
  readonly limit: number;
  /** Requests per second that this entry may start at one upstream. */
  readonly startsPerS: number;
  readonly nowMs: number;
  /** Weighs upstreams by the work left; undefined where they are weighed by their requests. */
  readonly weights: WorkWeights | undefined;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  readonly draw: () => number;
}

/** Result of a placement. */
export interface PlacementResult {
  readonly upstream: DirectUpstream | undefined;
  /**
   * Upstreams that are in service and not backing off, whether or not they have capacity; of a
   * large pool those in the sample.
   */
  readonly availableCount: number;
}

/** Whether an upstream may get requests at all. */
export function isInService(board: FleetBoard, upstream: DirectUpstream): boolean {
  return !upstream.isLeaving && !board.isDomainClosed(upstream.entry.domain);
}

function isAvailable(board: FleetBoard, upstream: DirectUpstream, nowMs: number): boolean {
  return isInService(board, upstream) && !upstream.isBackingOff(nowMs);
}

/**
 * Time in milliseconds until the first upstream stops backing off; undefined where one is available
 * now or none is in service.
 */
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

/**
 * Available upstreams of the pool, or of a sample where it is large. Permits name single upstreams,
 * which a sample would miss.
 */
function listAvailable(board: FleetBoard, query: PlacementQuery): readonly DirectUpstream[] {
  const { pool, nowMs, draw } = query;
  const all = board.listPool(pool);
  const candidates = board.limits.limitedCount > 0 ? all : sampleCandidates(all, draw);
  const available = candidates.filter((upstream) => isAvailable(board, upstream, nowMs));
  if (available.length > 0 || candidates.length === all.length) return available;
  return all.filter((upstream) => isAvailable(board, upstream, nowMs));
}

/** Upstreams that are neither ejected as outliers nor so slow that they would delay their group. */
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

/** Chooses the upstream with the fewest requests in flight. */
function chooseByCount(
  board: FleetBoard,
  eligible: readonly DirectUpstream[],
  query: PlacementQuery,
): DirectUpstream | undefined {
  const scored = eligible.map((upstream) => ({
    upstream,
    score: scoreUpstream(board, upstream, query),
  }));
  const best = scored.reduce<(typeof scored)[number] | undefined>(
    (least, each) => (least && least.score <= each.score ? least : each),
    undefined,
  );
  return best?.upstream;
}

/**
 * Chooses the upstream with the least work. Requests that other entries may have sent meanwhile are
 * spread over the upstreams that they would fill, as all entries choose on the same news.
 */
function chooseByWork(
  board: FleetBoard,
  eligible: readonly DirectUpstream[],
  { weigh, unreported }: WorkWeights,
  draw: number,
): DirectUpstream | undefined {
  const options = eligible.map((upstream) => {
    const { costMs, marginalMs } = weigh(upstream);
    const isOwnDomain = upstream.entry.domain === board.domain;
    const bonusMs = isOwnDomain ? OWN_DOMAIN_TIE * marginalMs : 0;
    return { upstream, costMs: costMs - bonusMs, marginalMs };
  });
  return drawOption(options, unreported, draw)?.upstream;
}

type Room = Pick<PlacementQuery, 'limit' | 'startsPerS' | 'nowMs'>;

/** Whether an upstream can take one more request. */
function hasRoom(board: FleetBoard, upstream: DirectUpstream, room: Room): boolean {
  const { limit, startsPerS, nowMs } = room;
  return (
    board.countLoad(upstream, nowMs) + 1 <= Math.max(1, limit / upstream.readSlowdown(nowMs)) &&
    upstream.startRate.count(nowMs) < startsPerS &&
    board.permits.allows(upstream.incarnation, nowMs)
  );
}

/** Whether a certain upstream can take a request now, be it ejected or not. */
export function canPlaceAt(board: FleetBoard, upstream: DirectUpstream, room: Room): boolean {
  return isAvailable(board, upstream, room.nowMs) && hasRoom(board, upstream, room);
}

/** Chooses the upstream of a request; `upstream` is undefined where none has capacity. */
export function choosePlacement(board: FleetBoard, query: PlacementQuery): PlacementResult {
  const { excluded, nowMs } = query;
  const available = listAvailable(board, query);
  const eligible = pickHealthy(available, nowMs).filter(
    (upstream) => !excluded.has(upstream.id) && hasRoom(board, upstream, query),
  );
  const upstream = query.weights
    ? chooseByWork(board, eligible, query.weights, query.draw())
    : chooseByCount(board, eligible, query);
  return { upstream, availableCount: available.length };
}
