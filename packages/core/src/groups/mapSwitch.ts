/**
 * Switches all ranks of a group to one expert map while every rank is held at a barrier.
 *
 * All ranks promise a ballot and hold before their next step (prepare). Once all are held, the map
 * is chosen, the ranks that do not use it yet switch to it, and all confirm the map in force; only
 * then are they released (commit). A group steps only with all of its ranks, so no rank steps while
 * any rank is held. The platform is not called between hold and release. After any failure a later
 * ballot can complete the switch: it uses the newest map that all ranks have, which exists because
 * no rank discards the map that was last in force.
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

/** Stage of a ballot, in order. */
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
  /** Highest ballot that any rank has reported. */
  readonly promised: Ballot;
}

export interface SwitchResult {
  readonly ballot: Ballot;
  /** Map in force on all ranks. */
  readonly mapVersion: number;
}

export interface MapSwitchOptions {
  /** Times that an unanswered order is sent again. */
  readonly retries: number;
  /** Whether the caller's lease is still held by its own clock; called before each order. */
  readonly canOrder: () => boolean;
}

type SwitchAnswer = Result<SwitchResult, SwitchError>;
type StatesAnswer = Result<readonly RankState[], SwitchError>;

/** Highest map version that is available on every rank; 0 if there is none. */
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

/** Runs ballots that switch the ranks of one group. */
export class MapSwitch {
  readonly #control: RankControl;

  readonly #options: MapSwitchOptions;

  constructor(control: RankControl, options: MapSwitchOptions) {
    this.#control = control;
    this.#options = options;
  }

  /**
   * Runs one ballot through hold, switch and release.
   *
   * @param wantedVersion map to switch to if all ranks have it; if not, or if omitted, the newest
   *   map that all ranks have is used
   * @returns Ok only if all ranks confirmed their release
   */
  async run(ballot: Ballot, wantedVersion?: number): Promise<SwitchAnswer> {
    const held = await this.#orderAll(SwitchStage.Hold, ballot, () => ({
      action: RankAction.Hold,
      ballot,
    }));
    if (!held.ok) return held;

    const mapVersion = chooseVersion(held.val, wantedVersion);
    if (mapVersion === 0) {
      const detail = 'no expert map is available on all ranks';
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
    const detail = 'a rank confirmed a different expert map than ordered';
    const kind = RankErrorKind.Invalid;
    return Err({ stage: SwitchStage.Switch, kind, detail, promised: ballot });
  }

  /** Sends an order to all ranks in parallel; one failure fails the ballot. */
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
    if (!this.#options.canOrder()) {
      const error: RankError = {
        kind: RankErrorKind.Fenced,
        detail: 'the lease of the group is no longer held',
        promised: ballot,
      };
      return Err(error);
    }
    const answer = await this.#control.order(rank, order);
    if (answer.ok || retriesLeft === 0 || !isRepeatable(answer.val)) return answer;
    return this.#orderWithRetries(rank, order, ballot, retriesLeft - 1);
  }
}
