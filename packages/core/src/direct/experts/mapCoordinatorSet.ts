/** Runs a map coordinator for each configured pool whose engines form groups. */
import type { Log } from '../../ports/log.js';
import type { Metrics } from '../../ports/metrics.js';
import type { Random } from '../../ports/random.js';
import type { FleetBoard } from '../fleetBoard.js';
import type { GroupProfile } from '../routeTable.js';

import { MapCoordinator } from './mapCoordinator.js';
import type { RankCaller } from './rankCaller.js';

/** Interval at which the configuration is checked; short, as a group may wait after a restart. */
const RECONCILE_INTERVAL_MS = 250;

export interface MapCoordinatorSetOptions {
  readonly board: FleetBoard;
  readonly caller: RankCaller;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Returns the sorted names of all entries, including this one. */
  readonly listEntries: () => readonly string[];
}

/** A pool's coordinator, and the profile that it was created with. */
interface ManagedPool {
  readonly profile: GroupProfile;
  readonly coordinator: MapCoordinator;
}

function isSameProfile(one: GroupProfile, other: GroupProfile): boolean {
  return (
    one.layers === other.layers &&
    one.experts === other.experts &&
    one.slotsPerRank === other.slotsPerRank &&
    one.spareExperts === other.spareExperts
  );
}

/** Map coordinators of one entry, by pool. */
export class MapCoordinatorSet {
  readonly #options: MapCoordinatorSetOptions;

  readonly #managedPools = new Map<string, ManagedPool>();

  #timer: NodeJS.Timeout | undefined;

  constructor(options: MapCoordinatorSetOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setInterval(() => this.#reconcile(), RECONCILE_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#managedPools.forEach(({ coordinator }) => coordinator.stop());
    this.#managedPools.clear();
  }

  #reconcile(): void {
    const pools = this.#options.board.table?.pools ?? [];
    const wanted = new Map(
      pools.flatMap(({ name, engine }) => (engine?.group ? [[name, engine.group]] : [])),
    );
    this.#managedPools.forEach(({ profile, coordinator }, pool) => {
      const wantedProfile = wanted.get(pool);
      if (wantedProfile && isSameProfile(wantedProfile, profile)) return;
      coordinator.stop();
      this.#managedPools.delete(pool);
    });
    wanted.forEach((profile, pool) => {
      if (this.#managedPools.has(pool)) return;
      const coordinator = new MapCoordinator({ ...this.#options, pool, profile });
      this.#managedPools.set(pool, { profile, coordinator });
      coordinator.start();
    });
  }
}
