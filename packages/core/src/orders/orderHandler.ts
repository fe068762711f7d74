/** Handlers of orders that change no configuration object, such as a planned stop. */
import type { OperatorOrder, OrderError, OrderReceipt } from '../model/order.js';
import type { Result } from '../outcome.js';

/** Carries out orders of one action. */
export abstract class OrderHandler {
  abstract give(order: OperatorOrder, orderId: string): Promise<Result<OrderReceipt, OrderError>>;
}
