/** Keeps a giver of maps for each pool of the configuration whose engines form groups. */
import type { Log } from '../../ports/log.js';
import type { Metrics } from '../../ports/metrics.js';
import type { Random } from '../../ports/random.js';
import type { FleetBoard } from '../fleetBoard.js';
import type { GroupProfile } from '../routeTable.js';

import { MapGiver } from './mapGiver.js';
import type { RankCaller } from './rankCaller.js';

/** Interval at which the configuration is looked at: after a restart a group may wait for it. */
const LOOK_MS = 250;

export interface MapKeeperOptions {
  readonly board: FleetBoard;
  readonly caller: RankCaller;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Names of all entries, this one included, in order. */
  readonly listEntries: () => readonly string[];
}

interface Kept {
  readonly profile: GroupProfile;
  readonly giver: MapGiver;
}

function isSame(one: GroupProfile, other: GroupProfile): boolean {
  return (
    one.layers === other.layers &&
    one.experts === other.experts &&
    one.slotsPerRank === other.slotsPerRank &&
    one.spareExperts === other.spareExperts
  );
}

/** Givers of one entry. */
export class MapKeeper {
  readonly #options: MapKeeperOptions;

  readonly #kept = new Map<string, Kept>();

  #timer: NodeJS.Timeout | undefined;

  constructor(options: MapKeeperOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setInterval(() => this.#look(), LOOK_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#kept.forEach(({ giver }) => giver.stop());
    this.#kept.clear();
  }

  #look(): void {
    const pools = this.#options.board.table?.pools ?? [];
    const wanted = new Map(
      pools.flatMap(({ name, engine }) => (engine?.group ? [[name, engine.group]] : [])),
    );
    this.#kept.forEach(({ profile, giver }, pool) => {
      const now = wanted.get(pool);
      if (now && isSame(now, profile)) return;
      giver.stop();
      this.#kept.delete(pool);
    });
    wanted.forEach((profile, pool) => {
      if (this.#kept.has(pool)) return;
      const giver = new MapGiver({ ...this.#options, pool, profile });
      this.#kept.set(pool, { profile, giver });
      giver.start();
    });
  }
}
