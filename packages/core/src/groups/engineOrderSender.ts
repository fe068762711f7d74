/** Sends engine orders under a lease and retries those that are not answered. */
import { Err, type Result } from '../outcome.js';
import { EngineOrderErrorKind, type EngineOrder, type EngineOrderError } from '../ports/engine.js';
import type { Metrics } from '../ports/metrics.js';

import type { EngineActionOrder } from './engineAction.js';
import type { EngineControl } from './engineControl.js';
import type { LeaseView } from './leaseView.js';

/** Sends engine orders under a lease, each with a bounded number of retries. */
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
   * Sends one order. Unanswered orders are sent again under the same id, so they take effect once.
   *
   * @returns the engine's reply; `Unknown` if none came: the order can be sent again under its id
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
    const reply = await this.#control.order(upstream, order);
    if (reply.ok || reply.val.kind !== EngineOrderErrorKind.Unknown || retries === 0) return reply;
    this.#metrics.count('groups.order_retry', { action: order.action });
    return this.#sendWithRetries(upstream, order, retries - 1);
  }
}
