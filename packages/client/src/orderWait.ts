/** Waits until an order is in force everywhere. */
import { OrderState, type OrderStatus } from '@radishbay/core/model/order.js';
import type { Result } from '@radishbay/core/outcome.js';
import { wait } from '@radishbay/core/wait.js';

import { FailureKind, type Failure } from './failure.js';
import type { OperatorApi } from './operatorApi.js';

export interface WaitOptions {
  readonly waitMs: number;
  readonly pollMs: number;
}

/** Whether asking again can bring news. */
function isOpen(status: Result<OrderStatus, Failure>): boolean {
  if (status.ok) return status.val.state === OrderState.Accepted;
  return status.val.kind === FailureKind.Unreachable;
}

/**
 * Reads an order back until it is in force, superseded or not found, at most for a time.
 *
 * @returns what was read last
 */
export async function waitForOrder(
  api: OperatorApi,
  orderId: string,
  options: WaitOptions,
): Promise<Result<OrderStatus, Failure>> {
  const deadlineMs = Date.now() + options.waitMs;
  const poll = async (): Promise<Result<OrderStatus, Failure>> => {
    const status = await api.read(orderId);
    if (!isOpen(status) || Date.now() + options.pollMs > deadlineMs) return status;
    await wait(options.pollMs);
    return poll();
  };
  return poll();
}
