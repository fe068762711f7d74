/** What a scenario has in common: how it acts on a fleet, and what must hold besides. */
import type { MessageType } from '@radishbay/core/messages/message.js';

import { planSampleFleet, type FleetPlan } from '../../fleet/fleetPlan.js';
import type { World } from '../world.js';

const ENTRIES = 2;
const MODELS_PER_DOMAIN = 1;

/** One scenario of the fault matrix. */
export abstract class Scenario {
  abstract readonly name: string;

  /** The fleet that it runs on. */
  readonly plan: FleetPlan = planSampleFleet(ENTRIES, MODELS_PER_DOMAIN);

  /** Messages that are numbered; undefined where all but the periodic ones are. */
  readonly steps: ReadonlySet<MessageType> | undefined = undefined;

  /**
   * Whether a majority of the entries stays up. Where it does not, the rest begin no new work while
   * the platform is out of reach (docs/design/configuration.md, which promise gives way).
   */
  readonly keepsMajority: boolean = true;

  /** Sends requests and orders; must not wait for what a fault may prevent. */
  abstract act(world: World): Promise<void>;

  /** @returns sentences on what did not hold beyond the invariants of all scenarios */
  abstract judge(world: World): readonly string[];
}
