/** Looks at what a drain would lead to before it is carried out. */
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

/** Times that a drain is judged anew because another one came between. */
const RETRIES_MAX = 4;

export interface DrainCheckOptions {
  readonly board: EntryBoard;
  readonly store: ObjectStore;
}

type CheckResult = Result<readonly DomainForecast[], OrderError>;

/** A limit of zero says that this entry has heard no report from there, as after its own start. */
function describeDomainLoad({ pool, domain, loadAfter, limit }: DomainForecast): string {
  if (limit === 0) return `${pool} in ${domain}: no side process has reported yet`;
  return `${pool} in ${domain}: ${loadAfter.toFixed(1)} of ${limit}`;
}

function describeOverload(forecast: readonly DomainForecast[], pools: readonly string[]): string {
  const parts = forecast.filter((one) => pools.includes(one.pool)).map(describeDomainLoad);
  return `the other domains could not carry the load (${parts.join('; ')}); force it to go ahead`;
}

/** Refuses drains that would leave too little. */
export class DrainCheck {
  readonly #board: EntryBoard;

  readonly #intents: DrainIntentStore;

  constructor(options: DrainCheckOptions) {
    this.#board = options.board;
    this.#intents = new DrainIntentStore(options.store);
  }

  /**
   * Checks an order; any other than a drain passes.
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
      const detail = `no other active domain would serve ${pools}; force it to go ahead`;
      return Err({ kind: OrderErrorKind.LastDomain, detail, orderId });
    }
    if (drainForecast.overloadedPools.length === 0) return Ok(drainForecast.forecast);
    const detail = describeOverload(drainForecast.forecast, drainForecast.overloadedPools);
    return Err({ kind: OrderErrorKind.Overload, detail, orderId });
  }
}
