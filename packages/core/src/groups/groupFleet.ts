/** Keeps the groups of the configuration, as they come, change and go. */
import type { ConfigFeed } from '../config/configFeed.js';
import { CONFIG_PREFIX, ConfigKind, type Group } from '../config/object.js';
import type { QueryRow } from '../model/query.js';

import { GroupKeeper, type GroupKeeperContext } from './groupKeeper.js';

const GROUP_PREFIX = `${CONFIG_PREFIX}${ConfigKind.Group}/`;

export interface GroupFleetOptions extends GroupKeeperContext {
  readonly feed: ConfigFeed;
}

/** Whether a group can be kept on as it is; a pause is read at each step. */
function isSameGroup(one: Group, other: Group): boolean {
  return (
    one.ranks === other.ranks &&
    one.layers === other.layers &&
    one.expertsPerLayer === other.expertsPerLayer &&
    one.slotsPerRank === other.slotsPerRank &&
    one.expertBytes === other.expertBytes &&
    one.spareExperts === other.spareExperts
  );
}

/** All groups, as one entry keeps them. */
export class GroupFleet {
  readonly #options: GroupFleetOptions;

  readonly #keepers = new Map<string, GroupKeeper>();

  #isRunning = false;

  constructor(options: GroupFleetOptions) {
    this.#options = options;
    options.feed.onRise(({ keys }) => {
      if (keys.some((key) => key.startsWith(GROUP_PREFIX))) this.#reconcile();
    });
  }

  /** Rows for operators. */
  list(): readonly QueryRow[] {
    return [...this.#keepers.values()].map((keeper) => keeper.row);
  }

  start(): void {
    this.#isRunning = true;
    this.#reconcile();
  }

  /** Stops all; resolves when their leases have been freed, or have to lapse. */
  async stop(): Promise<void> {
    this.#isRunning = false;
    const stopped = [...this.#keepers.values()].map((keeper) => keeper.stop());
    this.#keepers.clear();
    await Promise.all(stopped);
  }

  #reconcile(): void {
    if (!this.#isRunning) return;
    const { config } = this.#options.board;
    [...this.#keepers].forEach(([name, keeper]) => {
      const group = config.get(ConfigKind.Group, name);
      if (group && isSameGroup(group, keeper.group)) return;
      this.#keepers.delete(name);
      keeper.stop();
    });
    config.list(ConfigKind.Group).forEach((group) => {
      if (!this.#keepers.has(group.name)) this.#keep(group);
    });
  }

  #keep(group: Group): void {
    const keeper = new GroupKeeper(this.#options, group);
    this.#keepers.set(group.name, keeper);
    keeper.start();
  }
}
