/** Polls an order until it is in force everywhere. */
import { OrderState, type OrderStatus } from '@radishbay/core/model/order.js';
import type { Result } from '@radishbay/core/outcome.js';
import { wait } from '@radishbay/core/wait.js';

import { FailureKind, type Failure } from './failure.js';
import type { OperatorApi } from './operatorApi.js';

export interface WaitOptions {
  /** Longest time to wait. */
  readonly waitMs: number;
  /** Time between two reads of the status. */
  readonly pollMs: number;
}

/** Whether a further read may return another status. */
function canChange(status: Result<OrderStatus, Failure>): boolean {
  if (status.ok) return status.val.state === OrderState.Accepted;
  return status.val.kind === FailureKind.Unreachable;
}

/**
 * Polls the status of an order until it is in force, superseded or not found, a read fails other
 * than by an unreachable entry, or the wait time is over.
 *
 * @returns the result of the last read
 */
export async function waitForOrder(
  api: OperatorApi,
  orderId: string,
  options: WaitOptions,
): Promise<Result<OrderStatus, Failure>> {
  const deadlineMs = Date.now() + options.waitMs;
  const poll = async (): Promise<Result<OrderStatus, Failure>> => {
    const status = await api.read(orderId);
    if (!canChange(status) || Date.now() + options.pollMs > deadlineMs) return status;
    await wait(options.pollMs);
    return poll();
  };
  return poll();
}
