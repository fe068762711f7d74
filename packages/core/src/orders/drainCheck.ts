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
import { foretellDrain } from './drainForecast.js';
import { DrainGuard, type DrainView } from './drainGuard.js';

/** Times that a drain is judged anew because another one came between. */
const ROUNDS_MAX = 4;

export interface DrainCheckOptions {
  readonly board: EntryBoard;
  readonly store: ObjectStore;
}

type Checked = Result<readonly DomainForecast[], OrderError>;

/** A limit of zero says that this entry has heard no report from there, as after its own start. */
function describePlace({ pool, domain, loadAfter, limit }: DomainForecast): string {
  if (limit === 0) return `${pool} in ${domain}: no side process has reported yet`;
  return `${pool} in ${domain}: ${loadAfter.toFixed(1)} of ${limit}`;
}

function describeOverload(forecast: readonly DomainForecast[], pools: readonly string[]): string {
  const parts = forecast.filter((one) => pools.includes(one.pool)).map(describePlace);
  return `the other domains could not carry the load (${parts.join('; ')}); force it to go ahead`;
}

/** Refuses drains that would leave too little. */
export class DrainCheck {
  readonly #board: EntryBoard;

  readonly #guard: DrainGuard;

  constructor(options: DrainCheckOptions) {
    this.#board = options.board;
    this.#guard = new DrainGuard(options.store);
  }

  /**
   * Checks an order; any other than a drain passes.
   *
   * @param fromVersion version of the domain that the order is given against
   * @returns the load that the other domains are expected to carry
   */
  async check(order: OperatorOrder, orderId: string, fromVersion: number): Promise<Checked> {
    if (order.action !== OrderAction.DrainDomain) return Ok([]);
    return this.#checkRound(order, orderId, fromVersion, ROUNDS_MAX);
  }

  async #checkRound(
    order: OperatorOrder,
    orderId: string,
    fromVersion: number,
    roundsLeft: number,
  ): Promise<Checked> {
    const view = await this.#guard.read();
    if (!view.ok) {
      const { kind, detail } = view.val;
      const unavailable = { kind: OrderErrorKind.PlatformUnavailable, orderId };
      return Err({ ...unavailable, detail: `${kind}: ${detail}` });
    }
    const judged = this.#judge(order, orderId, view.val);
    if (!judged.ok) return judged;
    const claimed = await this.#guard.claim(view.val, order.target, orderId, fromVersion);
    if (claimed.ok) return judged;
    const { kind, detail } = claimed.val;
    const isRaced = kind === StoreErrorKind.Conflict || kind === StoreErrorKind.Unknown;
    if (isRaced && roundsLeft > 0) {
      return this.#checkRound(order, orderId, fromVersion, roundsLeft - 1);
    }
    const unavailable = { kind: OrderErrorKind.PlatformUnavailable, orderId };
    return Err({ ...unavailable, detail: `${kind}: ${detail}` });
  }

  #judge(order: OperatorOrder, orderId: string, view: DrainView): Checked {
    const { target } = order;
    const drained = new Set([...view.drained].filter((domain) => domain !== target));
    const outlook = foretellDrain(this.#board, target, drained);
    if (order.isForced) return Ok(outlook.forecast);
    const isOther = view.domains.some((domain) => domain !== target && !drained.has(domain));
    if (!isOther || outlook.poolsWithout.length > 0) {
      const pools = outlook.poolsWithout.join(', ') || 'all pools';
      const detail = `no other active domain would serve ${pools}; force it to go ahead`;
      return Err({ kind: OrderErrorKind.LastDomain, detail, orderId });
    }
    if (outlook.poolsOverloaded.length === 0) return Ok(outlook.forecast);
    const detail = describeOverload(outlook.forecast, outlook.poolsOverloaded);
    return Err({ kind: OrderErrorKind.Overload, detail, orderId });
  }
}
