/** Submits orders, reads back their status and prints the outcome. */
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

const EXIT_CODE_BY_STATE: Readonly<Record<OrderState, ExitCode>> = {
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
  const header = `order ${orderId}: ${state}\n${action} ${target} by ${by}\n`;
  const progress = `version ${version} after ${fromVersion}, in force on ${inForceOn} of ${of}\n`;
  if (status.missing.length === 0) return `${header}${progress}`;
  return `${header}${progress}${formatTable(status.missing.map((missing) => ({ ...missing })))}`;
}

/** Status of an order, with the forecast from the receipt if it was just submitted. */
interface StatusWithForecast extends OrderStatus {
  readonly forecast?: readonly DomainForecast[];
}

export interface OrderRunnerOptions {
  /** Whether results and failures are written as JSON. */
  readonly isJson: boolean;
  /** Undefined if the command does not wait for the order to come into force. */
  readonly wait: WaitOptions | undefined;
}

/** Runs the order operations of the command line and writes their results. */
export class OrderRunner {
  readonly #api: OperatorApi;

  readonly #output: Output;

  readonly #options: OrderRunnerOptions;

  constructor(api: OperatorApi, output: Output, options: OrderRunnerOptions) {
    this.#api = api;
    this.#output = output;
    this.#options = options;
  }

  /**
   * Submits an order. Its id is written first, so that the operator can read the order back even
   * if the call fails.
   *
   * @param orderId unique for each order
   */
  async submit(order: OrderBody, orderId: string): Promise<ExitCode> {
    this.#output.writeError(`order id ${orderId}\n`);
    const receipt = await this.#api.submit(order, orderId);
    if (!receipt.ok) return this.#resolveFailure(receipt.val, orderId);
    if (this.#options.wait) return this.#waitAndReport(receipt.val);
    this.#writeReceipt(receipt.val);
    return ExitCode.Accepted;
  }

  /** Prints the status of an order, after waiting for it to come into force if so configured. */
  async show(orderId: string): Promise<ExitCode> {
    const status = await this.#read(orderId);
    if (!status.ok) return this.writeFailure(status.val, orderId);
    return this.#writeStatus(status.val);
  }

  /** Writes a failure and returns its exit code. */
  writeFailure(failure: Failure, orderId?: string): ExitCode {
    if (this.#options.isJson) this.#output.write(`${JSON.stringify({ ...failure, orderId })}\n`);
    else this.#output.writeError(`${failure.reason ?? failure.kind}: ${failure.detail}\n`);
    return chooseExitCode(failure);
  }

  /** Reads an order back if its response was lost: if an entry knows it, it was accepted. */
  async #resolveFailure(failure: Failure, orderId: string): Promise<ExitCode> {
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

  /** Waits for an accepted order. If its status cannot be read, it still counts as accepted. */
  async #waitAndReport(receipt: OrderReceipt): Promise<ExitCode> {
    if (!this.#options.isJson) this.#writeReceipt(receipt);
    const status = await this.#read(receipt.orderId);
    if (status.ok) return this.#writeStatus({ ...status.val, forecast: receipt.forecast });
    this.#output.writeError(`cannot read the order back: ${status.val.detail}\n`);
    if (this.#options.isJson) this.#writeReceipt(receipt);
    return ExitCode.Accepted;
  }

  #writeStatus(status: StatusWithForecast): ExitCode {
    const text = this.#options.isJson ? `${JSON.stringify(status)}\n` : describeStatus(status);
    this.#output.write(text);
    return EXIT_CODE_BY_STATE[status.state];
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
