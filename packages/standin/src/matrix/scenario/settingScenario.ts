/** A fleet-wide setting is changed while callers go on asking. */
import { SettingName } from '@radishbay/core/config/object.js';
import { OrderAction } from '@radishbay/core/model/order.js';

import type { World } from '../world.js';

import { giveOrder, OrderScenario, startTraffic } from './orderScenario.js';

const ORDER_ID = 'order-setting';
const READ_BACK_MS = 6_000;
const RETRY_SHARE = 0.05;

/** One change of a setting. */
export class SettingScenario extends OrderScenario {
  override readonly name = 'setting-changed';

  override async act(world: World): Promise<void> {
    this.reset();
    const stopTraffic = startTraffic(world);
    await giveOrder(world, ORDER_ID, {
      action: OrderAction.ChangeSetting,
      target: SettingName.RetryShare,
      params: { value: RETRY_SHARE },
      isForced: false,
      by: 'operator-1',
    });
    await this.readBack(world, ORDER_ID, READ_BACK_MS);
    stopTraffic();
  }
}
