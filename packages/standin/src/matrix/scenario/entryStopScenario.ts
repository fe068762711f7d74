/** A planned stop of an entry while callers go on asking. */
import type { World } from '../world.js';

import { PlannedStopScenario } from './plannedStopScenario.js';

const NOTICE_MS = 2_000;
const LIMIT_MS = 20_000;

/** An entry stops: the balancer is told first, and sends elsewhere. */
export class EntryStopScenario extends PlannedStopScenario {
  override readonly name = 'planned-stop-entry';

  /** One of two entries is left meanwhile. */
  override readonly keepsMajority = false;

  protected override async stop(world: World): Promise<void> {
    const { process, node } = world.getEntry('entry-1');
    process.post(() => node.beginStop());
    world.balancer.remove('entry-1');
    await world.clock.advance(NOTICE_MS);
    const drained = { isDone: false };
    process.post(() => {
      node.drain().then(() => {
        drained.isDone = true;
      });
    });
    await world.clock.advanceUntil(() => drained.isDone, LIMIT_MS);
    const left = { isDone: false };
    process.post(() => {
      node.leave().then(() => {
        left.isDone = true;
      });
    });
    await world.clock.advanceUntil(() => left.isDone, LIMIT_MS);
    process.kill();
    world.startEntry('entry-1');
    world.balancer.add('entry-1');
  }
}
