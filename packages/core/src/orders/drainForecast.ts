/**
 * Forecasts the load of the remaining failure domains after one is drained.
 *
 * Load and limits come from the side processes' reports. An upstream that has not reported counts
 * for no load and no capacity, so that the forecast does not rely on it. The load of the drained
 * domain is distributed over the others in proportion to their limits, as routing does.
 */
import { ConfigKind, DomainState } from '../config/object.js';
import type { DomainForecast } from '../model/order.js';
import type { EntryBoard, UpstreamState } from '../state/entryBoard.js';

/** Largest share of the remaining limits that the load may take up after a drain. */
const LOAD_SHARE_MAX = 0.9;

/** Load and limit of one pool in one domain, as numbers of requests. */
interface DomainPoolLoad {
  readonly domain: string;
  readonly pool: string;
  load: number;
  limit: number;
  upstreamCount: number;
}

function addUpstream(loads: Map<string, DomainPoolLoad>, upstream: UpstreamState): void {
  const { domain, pool, report } = upstream;
  const key = `${pool}/${domain}`;
  const poolLoad = loads.get(key) ?? { domain, pool, load: 0, limit: 0, upstreamCount: 0 };
  loads.set(key, poolLoad);
  poolLoad.upstreamCount += 1;
  if (!report || report.isLeaving || upstream.isStopping) return;
  poolLoad.load += report.inFlight + report.queued;
  poolLoad.limit += report.limit;
}

function listDomainPoolLoads(board: EntryBoard): readonly DomainPoolLoad[] {
  const loads = new Map<string, DomainPoolLoad>();
  board.upstreams.forEach((upstream) => addUpstream(loads, upstream));
  return [...loads.values()];
}

/** Forecast of a drain. */
export interface DrainForecast {
  readonly forecast: readonly DomainForecast[];
  /** Pools that have no upstream in another active domain. */
  readonly unservedPools: readonly string[];
  /** Pools whose load the remaining domains cannot carry. */
  readonly overloadedPools: readonly string[];
}

function forecastPool(
  drainedLoad: DomainPoolLoad,
  rest: readonly DomainPoolLoad[],
): readonly DomainForecast[] {
  const total = rest.reduce((sum, poolLoad) => sum + poolLoad.limit, 0);
  return rest.map(({ domain, pool, load, limit }) => ({
    domain,
    pool,
    loadBefore: load,
    loadAfter:
      load + (total > 0 ? (drainedLoad.load * limit) / total : drainedLoad.load / rest.length),
    limit,
  }));
}

function isOverloaded(forecast: readonly DomainForecast[]): boolean {
  const load = forecast.reduce((sum, one) => sum + one.loadAfter, 0);
  const limit = forecast.reduce((sum, one) => sum + one.limit, 0);
  return limit === 0 || load > limit * LOAD_SHARE_MAX;
}

/**
 * Forecasts the effect of draining a domain.
 *
 * @param drained names of the domains that are already drained or about to be
 */
export function forecastDrain(
  board: EntryBoard,
  domain: string,
  drained: ReadonlySet<string>,
): DrainForecast {
  const loads = listDomainPoolLoads(board);
  const drainedLoads = loads.filter((poolLoad) => poolLoad.domain === domain);
  const isRemaining = (poolLoad: DomainPoolLoad) =>
    poolLoad.domain !== domain && !drained.has(poolLoad.domain);
  const pools = drainedLoads.map((drainedLoad) => {
    const rest = loads.filter(
      (poolLoad) => poolLoad.pool === drainedLoad.pool && isRemaining(poolLoad),
    );
    return { pool: drainedLoad.pool, rest, forecast: forecastPool(drainedLoad, rest) };
  });
  return {
    forecast: pools.flatMap(({ forecast }) => forecast),
    unservedPools: pools.filter(({ rest }) => rest.length === 0).map(({ pool }) => pool),
    overloadedPools: pools
      .filter(({ rest, forecast }) => rest.length > 0 && isOverloaded(forecast))
      .map(({ pool }) => pool),
  };
}

/** Lists the names of the domains that are drained in this entry's configuration. */
export function listDrained(board: EntryBoard): ReadonlySet<string> {
  const domains = board.config.list(ConfigKind.Domain);
  const drained = domains.filter((domain) => domain.state === DomainState.Drained);
  return new Set(drained.map((domain) => domain.name));
}
