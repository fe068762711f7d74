/** Runs a supervisor for each configured group and follows changes of the configuration. */
import type { ConfigFeed } from '../config/configFeed.js';
import { CONFIG_PREFIX, ConfigKind, type Group } from '../config/object.js';
import type { QueryRow } from '../model/query.js';

import { GroupSupervisor, type GroupSupervisorContext } from './groupSupervisor.js';

const GROUP_PREFIX = `${CONFIG_PREFIX}${ConfigKind.Group}/`;

export interface GroupManagerOptions extends GroupSupervisorContext {
  readonly feed: ConfigFeed;
}

/** Whether the supervisor of a changed group can stay; it reads the pause setting at each step. */
function canKeepSupervisor(one: Group, other: Group): boolean {
  return (
    one.ranks === other.ranks &&
    one.layers === other.layers &&
    one.expertsPerLayer === other.expertsPerLayer &&
    one.slotsPerRank === other.slotsPerRank &&
    one.expertBytes === other.expertBytes &&
    one.spareExperts === other.spareExperts
  );
}

/** The group supervisors of one entry. */
export class GroupManager {
  readonly #options: GroupManagerOptions;

  readonly #supervisors = new Map<string, GroupSupervisor>();

  #isRunning = false;

  constructor(options: GroupManagerOptions) {
    this.#options = options;
    options.feed.onUpdate(({ keys }) => {
      if (keys.some((key) => key.startsWith(GROUP_PREFIX))) this.#reconcile();
    });
  }

  /** State of each group as a row for operators. */
  list(): readonly QueryRow[] {
    return [...this.#supervisors.values()].map((supervisor) => supervisor.row);
  }

  start(): void {
    this.#isRunning = true;
    this.#reconcile();
  }

  /** Stops all supervisors; resolves when their leases are released or left to expire. */
  async stop(): Promise<void> {
    this.#isRunning = false;
    const stopped = [...this.#supervisors.values()].map((supervisor) => supervisor.stop());
    this.#supervisors.clear();
    await Promise.all(stopped);
  }

  #reconcile(): void {
    if (!this.#isRunning) return;
    const { config } = this.#options.board;
    [...this.#supervisors].forEach(([name, supervisor]) => {
      const group = config.get(ConfigKind.Group, name);
      if (group && canKeepSupervisor(group, supervisor.group)) return;
      this.#supervisors.delete(name);
      supervisor.stop();
    });
    config.list(ConfigKind.Group).forEach((group) => {
      if (!this.#supervisors.has(group.name)) this.#supervise(group);
    });
  }

  #supervise(group: Group): void {
    const supervisor = new GroupSupervisor(this.#options, group);
    this.#supervisors.set(group.name, supervisor);
    supervisor.start();
  }
}
