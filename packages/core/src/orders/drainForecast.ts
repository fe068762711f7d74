/**
 * Foretells the load of the remaining failure domains once one is taken out.
 *
 * Load and limits come from the side processes' reports; an upstream that has not reported counts
 * for nothing, so that nobody relies on it. The load of the domain that goes is spread over the
 * others in proportion to their limits, as routing does.
 */
import { ConfigKind, DomainState } from '../config/object.js';
import type { DomainForecast } from '../model/order.js';
import type { EntryBoard, UpstreamState } from '../state/entryBoard.js';

/** Part of the remaining limits up to which a drain goes ahead. */
const LOAD_SHARE_MAX = 0.9;

/** What one domain carries for one pool. */
interface Place {
  readonly domain: string;
  readonly pool: string;
  load: number;
  limit: number;
  upstreamCount: number;
}

function addUpstream(places: Map<string, Place>, upstream: UpstreamState): void {
  const { domain, pool, report } = upstream;
  const key = `${pool}/${domain}`;
  const place = places.get(key) ?? { domain, pool, load: 0, limit: 0, upstreamCount: 0 };
  places.set(key, place);
  place.upstreamCount += 1;
  if (!report || report.isLeaving || upstream.isStopping) return;
  place.load += report.inFlight + report.queued;
  place.limit += report.limit;
}

function listPlaces(board: EntryBoard): readonly Place[] {
  const places = new Map<string, Place>();
  board.upstreams.forEach((upstream) => addUpstream(places, upstream));
  return [...places.values()];
}

/** What is foretold of a drain. */
export interface DrainOutlook {
  readonly forecast: readonly DomainForecast[];
  /** Pools for which no other active domain has an upstream. */
  readonly poolsWithout: readonly string[];
  /** Pools whose load the remaining domains could not carry. */
  readonly poolsOverloaded: readonly string[];
}

function foretell(gone: Place, rest: readonly Place[]): readonly DomainForecast[] {
  const total = rest.reduce((sum, place) => sum + place.limit, 0);
  return rest.map(({ domain, pool, load, limit }) => ({
    domain,
    pool,
    loadBefore: load,
    loadAfter: load + (total > 0 ? (gone.load * limit) / total : gone.load / rest.length),
    limit,
  }));
}

function isOverloaded(forecast: readonly DomainForecast[]): boolean {
  const load = forecast.reduce((sum, one) => sum + one.loadAfter, 0);
  const limit = forecast.reduce((sum, one) => sum + one.limit, 0);
  return limit === 0 || load > limit * LOAD_SHARE_MAX;
}

/**
 * Foretells what a drain leads to.
 *
 * @param drained names of domains that count as drained already
 */
export function foretellDrain(
  board: EntryBoard,
  domain: string,
  drained: ReadonlySet<string>,
): DrainOutlook {
  const places = listPlaces(board);
  const going = places.filter((place) => place.domain === domain);
  const isRemaining = (place: Place) => place.domain !== domain && !drained.has(place.domain);
  const pools = going.map((gone) => {
    const rest = places.filter((place) => place.pool === gone.pool && isRemaining(place));
    return { pool: gone.pool, rest, forecast: foretell(gone, rest) };
  });
  return {
    forecast: pools.flatMap(({ forecast }) => forecast),
    poolsWithout: pools.filter(({ rest }) => rest.length === 0).map(({ pool }) => pool),
    poolsOverloaded: pools
      .filter(({ rest, forecast }) => rest.length > 0 && isOverloaded(forecast))
      .map(({ pool }) => pool),
  };
}

/** Names of the domains that are drained by this entry's configuration. */
export function listDrained(board: EntryBoard): ReadonlySet<string> {
  const domains = board.config.list(ConfigKind.Domain);
  const drained = domains.filter((domain) => domain.state === DomainState.Drained);
  return new Set(drained.map((domain) => domain.name));
}
