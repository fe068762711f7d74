import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { EngineAction, EngineRole, parseEngineAction } from '../../src/groups/engineAction.js';
import { EngineControl } from '../../src/groups/engineControl.js';
import { EngineOrderSender } from '../../src/groups/engineOrderSender.js';
import { Err, Ok, type Result } from '../../src/outcome.js';
import {
  EngineOrderErrorKind,
  type EngineOrder,
  type EngineOrderError,
} from '../../src/ports/engine.js';
import { CountingMetrics } from '../../src/ports/countingMetrics.js';

/** Answers no order until the given number of orders has been sent. */
class UnresponsiveControl extends EngineControl {
  readonly orders: EngineOrder[] = [];

  #unanswered: number;

  constructor(unanswered: number) {
    super();
    this.#unanswered = unanswered;
  }

  override order(
    _upstream: string,
    order: EngineOrder,
  ): Promise<Result<Readonly<Record<string, unknown>>, EngineOrderError>> {
    this.orders.push(order);
    this.#unanswered -= 1;
    if (this.#unanswered < 0) return Promise.resolve(Ok({}));
    return Promise.resolve(Err({ kind: EngineOrderErrorKind.Unknown, detail: 'lost' }));
  }
}

const CHANGE_ROLE = { action: EngineAction.ChangeRole, role: EngineRole.Decode } as const;

test('an unanswered order is sent again under its id and fencing number', async () => {
  const control = new UnresponsiveControl(2);
  const lease = { fencingNumber: 4, isHeld: () => true };
  const orders = new EngineOrderSender(control, lease, 3, new CountingMetrics());
  const reply = await orders.send('choir-1', 'order-9', CHANGE_ROLE);
  assert.ok(reply.ok);
  const given = control.orders.map((order) => `${order.orderId}/${order.fencingNumber}`);
  assert.equal(given, ['order-9/4', 'order-9/4', 'order-9/4']);
});

test('an order is not sent again after the lease has expired', async () => {
  const control = new UnresponsiveControl(9);
  const lease = { fencingNumber: 4, isHeld: () => control.orders.length < 2 };
  const orders = new EngineOrderSender(control, lease, 5, new CountingMetrics());
  const reply = await orders.send('choir-1', 'order-9', CHANGE_ROLE);
  assert.is(reply.ok ? undefined : reply.val.kind, EngineOrderErrorKind.Fenced);
  assert.is(control.orders.length, 2);
});

test('an order first sent under one lease is not sent again under the next lease', async () => {
  const control = new UnresponsiveControl(9);
  const lease = {
    get fencingNumber() {
      return control.orders.length < 1 ? 4 : 5;
    },
    isHeld: () => true,
  };
  const orders = new EngineOrderSender(control, lease, 5, new CountingMetrics());
  await orders.send('choir-1', 'order-9', CHANGE_ROLE);
  assert.is(control.orders.length, 1);
});

test('the error for an invalid order names the field', () => {
  const parsed = parseEngineAction(EngineAction.ChangeRole, { role: 'conductor' });
  assert.ok(!parsed.ok && parsed.val.includes('role'));
});

test.run();
