/** Gives orders, reads them back, and says what became of them. */
import {
  OrderState,
  type DomainForecast,
  type OrderReceipt,
  type OrderStatus,
} from '@radishbay/core/model/order.js';
import type { QueryRow } from '@radishbay/core/model/query.js';
import type { Result } from '@radishbay/core/outcome.js';

import { ExitCode } from './exitCode.js';
import { FailureKind, chooseExitCode, type Failure } from './failure.js';
import type { OperatorApi, OrderBody } from './operatorApi.js';
import { waitForOrder, type WaitOptions } from './orderWait.js';
import type { Output } from './output.js';
import { formatTable } from './table.js';

const EXIT_CODES: Readonly<Record<OrderState, ExitCode>> = {
  [OrderState.InForce]: ExitCode.Done,
  [OrderState.Accepted]: ExitCode.Accepted,
  [OrderState.Superseded]: ExitCode.Superseded,
  [OrderState.NotFound]: ExitCode.Refused,
};

function describeForecast(forecast: DomainForecast): QueryRow {
  return { ...forecast };
}

function describeStatus(status: OrderStatus): string {
  const { orderId, state, action, target, by, version, fromVersion, inForceOn, of } = status;
  const head = `order ${orderId}: ${state}\n${action} ${target} by ${by}\n`;
  const progress = `version ${version} after ${fromVersion}, in force on ${inForceOn} of ${of}\n`;
  if (status.missing.length === 0) return `${head}${progress}`;
  return `${head}${progress}${formatTable(status.missing.map((missing) => ({ ...missing })))}`;
}

/** What was read back, with the forecast of the receipt where the order was just given. */
interface FollowedStatus extends OrderStatus {
  readonly forecast?: readonly DomainForecast[];
}

export interface OrderDeskOptions {
  readonly isJson: boolean;
  /** Undefined where the order's coming into force is not waited for. */
  readonly wait: WaitOptions | undefined;
}

/** Handles one order for the command line. */
export class OrderDesk {
  readonly #api: OperatorApi;

  readonly #output: Output;

  readonly #options: OrderDeskOptions;

  constructor(api: OperatorApi, output: Output, options: OrderDeskOptions) {
    this.#api = api;
    this.#output = output;
    this.#options = options;
  }

  /**
   * Gives an order; its id is written first, so that it is known whatever happens.
   *
   * @param orderId unique for each order
   */
  async give(order: OrderBody, orderId: string): Promise<ExitCode> {
    this.#output.writeError(`order id ${orderId}\n`);
    const receipt = await this.#api.give(order, orderId);
    if (!receipt.ok) return this.#settleFailure(receipt.val, orderId);
    if (this.#options.wait) return this.#follow(receipt.val);
    this.#writeReceipt(receipt.val);
    return ExitCode.Accepted;
  }

  /** Reads an order back, and waits for it where the options say so. */
  async show(orderId: string): Promise<ExitCode> {
    const status = await this.#read(orderId);
    if (!status.ok) return this.writeFailure(status.val, orderId);
    return this.#writeStatus(status.val);
  }

  /** Writes a failure. */
  writeFailure(failure: Failure, orderId?: string): ExitCode {
    if (this.#options.isJson) this.#output.write(`${JSON.stringify({ ...failure, orderId })}\n`);
    else this.#output.writeError(`${failure.reason ?? failure.kind}: ${failure.detail}\n`);
    return chooseExitCode(failure);
  }

  /** An order whose answer was lost is read back: a trace of it settles that it was accepted. */
  async #settleFailure(failure: Failure, orderId: string): Promise<ExitCode> {
    if (failure.kind !== FailureKind.Unknown) return this.writeFailure(failure, orderId);
    const status = await this.#api.read(orderId);
    if (status.ok && status.val.state !== OrderState.NotFound) return this.show(orderId);
    this.#output.writeError(`may have taken effect: radishbay order show ${orderId}\n`);
    return this.writeFailure(failure, orderId);
  }

  #read(orderId: string): Promise<Result<OrderStatus, Failure>> {
    const { wait } = this.#options;
    return wait ? waitForOrder(this.#api, orderId, wait) : this.#api.read(orderId);
  }

  /** Follows an accepted order: where it cannot be read back, it is still accepted. */
  async #follow(receipt: OrderReceipt): Promise<ExitCode> {
    if (!this.#options.isJson) this.#writeReceipt(receipt);
    const status = await this.#read(receipt.orderId);
    if (status.ok) return this.#writeStatus({ ...status.val, forecast: receipt.forecast });
    this.#output.writeError(`not read back: ${status.val.detail}\n`);
    if (this.#options.isJson) this.#writeReceipt(receipt);
    return ExitCode.Accepted;
  }

  #writeStatus(status: FollowedStatus): ExitCode {
    const text = this.#options.isJson ? `${JSON.stringify(status)}\n` : describeStatus(status);
    this.#output.write(text);
    return EXIT_CODES[status.state];
  }

  #writeReceipt(receipt: OrderReceipt): void {
    if (this.#options.isJson) {
      this.#output.write(`${JSON.stringify({ ...receipt, state: OrderState.Accepted })}\n`);
      return;
    }
    this.#output.write(`accepted as version ${receipt.version}\n`);
    if (receipt.forecast.length === 0) return;
    this.#output.write(formatTable(receipt.forecast.map(describeForecast)));
  }
}
