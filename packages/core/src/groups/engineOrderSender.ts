/** The coordinator's end of orders to engines: under a lease, each until it is answered. */
import { Err, type Result } from '../outcome.js';
import { EngineOrderErrorKind, type EngineOrder, type EngineOrderError } from '../ports/engine.js';
import type { Metrics } from '../ports/metrics.js';

import type { EngineActionOrder } from './engineAction.js';
import type { EngineControl } from './engineControl.js';
import type { LeaseView } from './leaseView.js';

/** Gives orders to engines under a lease, each until it is answered. */
export class EngineOrderSender {
  readonly #control: EngineControl;

  readonly #lease: LeaseView;

  readonly #retries: number;

  readonly #metrics: Metrics;

  constructor(control: EngineControl, lease: LeaseView, retries: number, metrics: Metrics) {
    this.#control = control;
    this.#lease = lease;
    this.#retries = retries;
    this.#metrics = metrics;
  }

  /**
   * Gives one order; unanswered ones are repeated under the same id, which has one effect.
   *
   * @returns the engine's reply; `Unknown` where no answer came: give it again under its id
   */
  send(
    upstream: string,
    orderId: string,
    action: EngineActionOrder,
  ): Promise<Result<Readonly<Record<string, unknown>>, EngineOrderError>> {
    const { action: name, ...params } = action;
    const { fencingNumber } = this.#lease;
    const order: EngineOrder = { orderId, fencingNumber, action: name, params };
    return this.#sendWithRetries(upstream, order, this.#retries);
  }

  async #sendWithRetries(
    upstream: string,
    order: EngineOrder,
    retries: number,
  ): Promise<Result<Readonly<Record<string, unknown>>, EngineOrderError>> {
    if (!this.#lease.isHeld(Date.now()) || this.#lease.fencingNumber !== order.fencingNumber) {
      this.#metrics.count('groups.order_refused', { reason: EngineOrderErrorKind.Fenced });
      return Err({ kind: EngineOrderErrorKind.Fenced, detail: 'the lease is no longer held' });
    }
    const answer = await this.#control.order(upstream, order);
    if (answer.ok || answer.val.kind !== EngineOrderErrorKind.Unknown || retries === 0) return answer;
    this.#metrics.count('groups.order_retry', { action: order.action });
    return this.#sendWithRetries(upstream, order, retries - 1);
  }
}
