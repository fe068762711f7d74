/**
 * Brings all ranks of a group to one map, after a change of coordinator or a failure.
 *
 * A restarted engine has no map and keeps its group held. A recovery ballot cannot resolve this, as
 * the weights have to come from the weight store. The map in force on all other ranks is used, or
 * if they differ the newest one that they all have; it must still be recorded on the platform.
 */
import { Err, Ok, type Result } from '../outcome.js';

import type { ExpertMap } from './expertMap.js';
import type { MapRollout } from './mapRollout.js';
import { findCommonVersion } from './mapSwitch.js';
import type { RankControl } from './rankControl.js';
import { RankAction, type RankAnswer, type RankState } from './rankOrder.js';

export enum RepairErrorKind {
  /** A rank could not be read. */
  Unreachable = 'unreachable',
  /** No recorded map is available on all ranks that have a map. */
  NoMap = 'no-map',
  /** A rank could not load the chosen map. */
  NotStaged = 'not-staged',
  /** The map was staged, but the switch did not complete. */
  Failed = 'failed',
}

export interface RepairError {
  readonly kind: RepairErrorKind;
  readonly detail: string;
}

/** Chooses among the maps of the ranks that have one; if none has, the newest recorded map. */
function chooseMap(
  states: readonly RankState[],
  maps: readonly ExpertMap[],
): ExpertMap | undefined {
  const withMap = states.filter((state) => state.mapVersion > 0);
  if (withMap.length === 0) return maps[0];
  const inForce = new Set(withMap.map((state) => state.mapVersion));
  const [only] = inForce;
  const version = inForce.size === 1 ? only : findCommonVersion(withMap);
  return maps.find((map) => map.version === version);
}

/** Repairs one group. */
export class GroupRepair {
  readonly #control: RankControl;

  readonly #rollout: MapRollout;

  constructor(control: RankControl, rollout: MapRollout) {
    this.#control = control;
    this.#rollout = rollout;
  }

  /**
   * Reads all ranks and, where they are held or differ, switches all of them to one map.
   *
   * @param maps recorded maps, newest first
   */
  async run(maps: readonly ExpertMap[]): Promise<Result<ExpertMap, RepairError>> {
    const answers = await this.#readAll();
    const failed = answers.find((answer) => !answer.ok);
    if (failed && !failed.ok) {
      return Err({ kind: RepairErrorKind.Unreachable, detail: failed.val.detail });
    }
    const states = answers.flatMap((answer) => (answer.ok ? [answer.val] : []));
    const map = chooseMap(states, maps);
    if (!map) return Err({ kind: RepairErrorKind.NoMap, detail: 'no recorded map on all ranks' });
    const isConsistent = states.every((state) => state.mapVersion === map.version && !state.isHeld);
    if (isConsistent) return Ok(map);

    const missingRanks = states.flatMap((state, rank) =>
      state.availableVersions.includes(map.version) ? [] : [rank],
    );
    const staged = await this.#rollout.stage(map, [], missingRanks);
    if (!staged.ok) return Err({ kind: RepairErrorKind.NotStaged, detail: staged.val.detail });
    const done = await this.#rollout.putInForce(map.version);
    if (!done.ok) return Err({ kind: RepairErrorKind.Failed, detail: done.val.detail });
    return Ok(map);
  }

  #readAll(): Promise<readonly RankAnswer[]> {
    const ranks = Array.from({ length: this.#control.ranks }, (_, rank) => rank);
    return Promise.all(ranks.map((rank) => this.#control.order(rank, { action: RankAction.Read })));
  }
}
