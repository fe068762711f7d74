/** A planned stop of a side process while callers go on asking. */
import type { World } from '../world.js';

import { PlannedStopScenario } from './plannedStopScenario.js';

const LIMIT_MS = 20_000;

/** A side process stops, and a new one takes its place. */
export class SideStopScenario extends PlannedStopScenario {
  override readonly name = 'planned-stop-side';

  protected override async stop(world: World): Promise<void> {
    const name = world.plan.upstreams[0]?.name ?? '';
    const side = world.sides.get(name);
    const stopped = { isDone: false };
    side?.process.post(() => {
      side.node.stop().then(() => {
        stopped.isDone = true;
      });
    });
    await world.clock.advanceUntil(() => stopped.isDone, LIMIT_MS);
    side?.process.kill();
    world.startSide(name);
  }
}
