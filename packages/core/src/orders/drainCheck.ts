/** Checks before a drain is carried out that the remaining domains can serve the load. */
import {
  OrderAction,
  OrderErrorKind,
  type DomainForecast,
  type OperatorOrder,
  type OrderError,
} from '../model/order.js';
import { Err, Ok, type Result } from '../outcome.js';
import { StoreErrorKind, type ObjectStore } from '../ports/objectStore.js';
import type { EntryBoard } from '../state/entryBoard.js';
import { forecastDrain } from './drainForecast.js';
import { DrainIntentStore, type DrainView } from './drainIntentStore.js';

/** How often a drain is checked again because of a concurrent drain. */
const RETRIES_MAX = 4;

export interface DrainCheckOptions {
  readonly board: EntryBoard;
  readonly store: ObjectStore;
}

type CheckResult = Result<readonly DomainForecast[], OrderError>;

/** A limit of zero means that this entry has no report from there yet, as after its own start. */
function describeDomainLoad({ pool, domain, loadAfter, limit }: DomainForecast): string {
  if (limit === 0) return `${pool} in ${domain}: no side process has reported yet`;
  return `${pool} in ${domain}: load ${loadAfter.toFixed(1)}, limit ${limit}`;
}

function describeOverload(forecast: readonly DomainForecast[], pools: readonly string[]): string {
  const parts = forecast.filter((one) => pools.includes(one.pool)).map(describeDomainLoad);
  return `the remaining domains cannot carry the load (${parts.join('; ')}); force the drain to override`;
}

/** Refuses drains that would leave a pool without enough capacity. */
export class DrainCheck {
  readonly #board: EntryBoard;

  readonly #intents: DrainIntentStore;

  constructor(options: DrainCheckOptions) {
    this.#board = options.board;
    this.#intents = new DrainIntentStore(options.store);
  }

  /**
   * Checks an order; orders other than drains always pass.
   *
   * @param fromVersion version of the domain that the order is given against
   * @returns the load that the other domains are expected to carry
   */
  async check(order: OperatorOrder, orderId: string, fromVersion: number): Promise<CheckResult> {
    if (order.action !== OrderAction.DrainDomain) return Ok([]);
    return this.#tryCheck(order, orderId, fromVersion, RETRIES_MAX);
  }

  async #tryCheck(
    order: OperatorOrder,
    orderId: string,
    fromVersion: number,
    retriesLeft: number,
  ): Promise<CheckResult> {
    const view = await this.#intents.read();
    if (!view.ok) {
      const { kind, detail } = view.val;
      const unavailable = { kind: OrderErrorKind.PlatformUnavailable, orderId };
      return Err({ ...unavailable, detail: `${kind}: ${detail}` });
    }
    const evaluated = this.#evaluate(order, orderId, view.val);
    if (!evaluated.ok) return evaluated;
    const written = await this.#intents.writeIntent(view.val, order.target, orderId, fromVersion);
    if (written.ok) return evaluated;
    const { kind, detail } = written.val;
    const hasConflict = kind === StoreErrorKind.Conflict || kind === StoreErrorKind.Unknown;
    if (hasConflict && retriesLeft > 0) {
      return this.#tryCheck(order, orderId, fromVersion, retriesLeft - 1);
    }
    const unavailable = { kind: OrderErrorKind.PlatformUnavailable, orderId };
    return Err({ ...unavailable, detail: `${kind}: ${detail}` });
  }

  #evaluate(order: OperatorOrder, orderId: string, view: DrainView): CheckResult {
    const { target } = order;
    const drained = new Set([...view.drained].filter((domain) => domain !== target));
    const drainForecast = forecastDrain(this.#board, target, drained);
    if (order.isForced) return Ok(drainForecast.forecast);
    const hasOtherDomain = view.domains.some((domain) => domain !== target && !drained.has(domain));
    if (!hasOtherDomain || drainForecast.unservedPools.length > 0) {
      const pools = drainForecast.unservedPools.join(', ') || 'all pools';
      const detail = `no other active domain serves ${pools}; force the drain to override`;
      return Err({ kind: OrderErrorKind.LastDomain, detail, orderId });
    }
    if (drainForecast.overloadedPools.length === 0) return Ok(drainForecast.forecast);
    const detail = describeOverload(drainForecast.forecast, drainForecast.overloadedPools);
    return Err({ kind: OrderErrorKind.Overload, detail, orderId });
  }
}
