/** What planned stops have in common: callers go on asking, and none is cut. */
import { CallerEnd } from '../fake/memoryCaller.js';
import type { World } from '../world.js';

import { startTraffic } from './orderScenario.js';
import { Scenario } from './scenario.js';

const BEFORE_MS = 1_500;
const AFTER_MS = 1_000;

/** What must hold of a planned stop: no request is cut. */
export abstract class PlannedStopScenario extends Scenario {
  override async act(world: World): Promise<void> {
    const stopTraffic = startTraffic(world);
    await world.clock.advance(BEFORE_MS);
    await this.stop(world);
    await world.clock.advance(AFTER_MS);
    stopTraffic();
  }

  override judge(world: World): readonly string[] {
    // Under a fault only the invariants of all scenarios hold.
    if (world.faultCount > 0) return [];
    return world.sent
      .filter(({ caller }) => caller.outcome !== CallerEnd.Answered)
      .map(({ id, caller }) => {
        const reason = caller.refusal?.reason ?? '';
        return `${id} was ${caller.outcome} ${reason} around a planned stop`;
      });
  }

  protected abstract stop(world: World): Promise<void>;
}
