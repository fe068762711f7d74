/**
 * Brings all ranks of a group to one map, after a change of coordinator or a failure.
 *
 * An engine that started anew has no map and holds its group; recovery by the ranks cannot help it,
 * as the weights have to come from the weight store. The map is the newest one that all other ranks
 * have and the platform still records.
 */
import { Err, Ok, type Result } from '../outcome.js';

import type { ExpertMap } from './expertMap.js';
import type { MapRollout } from './mapRollout.js';
import { findCommonVersion } from './mapSwitch.js';
import type { RankControl } from './rankControl.js';
import { RankAction, type RankAnswer, type RankState } from './rankOrder.js';

export enum RepairErrorKind {
  /** A rank did not answer. */
  Unreachable = 'unreachable',
  /** No recorded map is on all ranks that have one. */
  NoMap = 'no-map',
  NotStaged = 'not-staged',
  Failed = 'failed',
}

export interface RepairError {
  readonly kind: RepairErrorKind;
  readonly detail: string;
}

/** Ranks without any map take part in no choice; with none left, any recorded map will do. */
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

/** One repair of one group. */
export class GroupRepair {
  readonly #control: RankControl;

  readonly #rollout: MapRollout;

  constructor(control: RankControl, rollout: MapRollout) {
    this.#control = control;
    this.#rollout = rollout;
  }

  /**
   * Reads all ranks and puts one map in force on them, where it is not already.
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
    if (!map) return Err({ kind: RepairErrorKind.NoMap, detail: 'no recorded map is on all' });
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
