/**
 * Puts one expert map in force on all ranks of a group, by a held barrier.
 *
 * All ranks promise a ballot and hold; with all of them held the map is chosen, switched wherever
 * it is not yet in force, read back, and only then are the ranks released. A group steps only with
 * all of its ranks, so as long as one is held nothing steps. No call to the platform stands between
 * hold and release. Whatever goes wrong, any later ballot can complete the work: it goes to the
 * newest map that all ranks have, and the one that was last in force is always among them.
 */
import { Err, Ok, type Result } from '../outcome.js';

import { maxBallot, type Ballot } from './ballot.js';
import type { RankControl } from './rankControl.js';
import {
  RankAction,
  RankErrorKind,
  isRepeatable,
  type RankAnswer,
  type RankError,
  type RankOrder,
  type RankState,
} from './rankOrder.js';

export enum SwitchStage {
  Hold = 'hold',
  Choose = 'choose',
  Switch = 'switch',
  Release = 'release',
}

/** Why a ballot did not end with all ranks released. */
export interface SwitchError {
  readonly stage: SwitchStage;
  readonly kind: RankErrorKind;
  readonly detail: string;
  /** Highest ballot heard of. */
  readonly promised: Ballot;
}

export interface SwitchResult {
  readonly ballot: Ballot;
  /** Map in force on all ranks. */
  readonly mapVersion: number;
}

export interface MapSwitchOptions {
  /** Times that an unanswered order is given again. */
  readonly retries: number;
  /** Asked before each order: whether the caller's lease is still held by its own clock. */
  readonly mayOrder: () => boolean;
}

type SwitchAnswer = Result<SwitchResult, SwitchError>;
type StatesAnswer = Result<readonly RankState[], SwitchError>;

/** Highest version that every rank has; 0 where there is none. */
export function findCommonVersion(states: readonly RankState[]): number {
  const [first, ...rest] = states;
  if (!first) return 0;
  const common = first.availableVersions.filter((version) =>
    rest.every((state) => state.availableVersions.includes(version)),
  );
  return Math.max(0, ...common);
}

function chooseVersion(states: readonly RankState[], wanted: number | undefined): number {
  const isWantedOnAll =
    wanted !== undefined && states.every((state) => state.availableVersions.includes(wanted));
  return isWantedOnAll ? wanted : findCommonVersion(states);
}

/** Runs ballots over the ranks of one group. */
export class MapSwitch {
  readonly #control: RankControl;

  readonly #options: MapSwitchOptions;

  constructor(control: RankControl, options: MapSwitchOptions) {
    this.#control = control;
    this.#options = options;
  }

  /**
   * Runs one ballot to its end.
   *
   * @param wantedVersion map to put in force if all ranks have it; otherwise, or where it is left
   *   out, the newest one that all have
   * @returns Ok only when all ranks confirmed their release
   */
  async run(ballot: Ballot, wantedVersion?: number): Promise<SwitchAnswer> {
    const held = await this.#orderAll(SwitchStage.Hold, ballot, () => ({
      action: RankAction.Hold,
      ballot,
    }));
    if (!held.ok) return held;

    const mapVersion = chooseVersion(held.val, wantedVersion);
    if (mapVersion === 0) {
      const detail = 'no map is on all ranks';
      const kind = RankErrorKind.NotStaged;
      return Err({ stage: SwitchStage.Choose, kind, detail, promised: ballot });
    }
    const switched = await this.#switchAll(ballot, held.val, mapVersion);
    if (!switched.ok) return switched;

    const released = await this.#orderAll(SwitchStage.Release, ballot, (rank) => ({
      action: RankAction.Release,
      ballot,
      incarnation: held.val[rank]?.incarnation ?? '',
      mapVersion,
    }));
    return released.ok ? Ok({ ballot, mapVersion }) : released;
  }

  async #switchAll(
    ballot: Ballot,
    states: readonly RankState[],
    mapVersion: number,
  ): Promise<StatesAnswer> {
    const answer = await this.#orderAll(SwitchStage.Switch, ballot, (rank) => ({
      action: RankAction.Switch,
      ballot,
      incarnation: states[rank]?.incarnation ?? '',
      mapVersion,
    }));
    if (!answer.ok) return answer;
    if (answer.val.every((state) => state.mapVersion === mapVersion)) return answer;
    const detail = 'a rank confirmed another map';
    const kind = RankErrorKind.Invalid;
    return Err({ stage: SwitchStage.Switch, kind, detail, promised: ballot });
  }

  /** Gives an order to all ranks at once; one failure fails the ballot. */
  async #orderAll(
    stage: SwitchStage,
    ballot: Ballot,
    makeOrder: (rank: number) => RankOrder,
  ): Promise<StatesAnswer> {
    const ranks = Array.from({ length: this.#control.ranks }, (_, rank) => rank);
    const answers = await Promise.all(
      ranks.map((rank) =>
        this.#orderWithRetries(rank, makeOrder(rank), ballot, this.#options.retries),
      ),
    );
    const errors = answers.flatMap((answer) => (answer.ok ? [] : [answer.val]));
    const [first] = errors;
    if (!first) return Ok(answers.flatMap((answer) => (answer.ok ? [answer.val] : [])));
    const promised = errors.reduce((seen, error) => maxBallot(seen, error.promised), ballot);
    return Err({ stage, kind: first.kind, detail: first.detail, promised });
  }

  async #orderWithRetries(
    rank: number,
    order: RankOrder,
    ballot: Ballot,
    retriesLeft: number,
  ): Promise<RankAnswer> {
    if (!this.#options.mayOrder()) {
      const error: RankError = {
        kind: RankErrorKind.Fenced,
        detail: 'the lease is no longer held',
        promised: ballot,
      };
      return Err(error);
    }
    const answer = await this.#control.order(rank, order);
    if (answer.ok || retriesLeft === 0 || !isRepeatable(answer.val)) return answer;
    return this.#orderWithRetries(rank, order, ballot, retriesLeft - 1);
  }
}
