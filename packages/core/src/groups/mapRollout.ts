/**
 * Rolls out a new expert map: stages it on all ranks while the old one is in use, then switches.
 *
 * The map's version has been reserved by a conditional write, so no two maps share one.
 */
import { Err, Ok, type Result } from '../outcome.js';
import type { Metrics } from '../ports/metrics.js';

import { maxBallot, nextBallot, NO_BALLOT, type Ballot } from './ballot.js';
import type { ExpertMap } from './expertMap.js';
import { MapSwitch, type MapSwitchOptions, type SwitchError } from './mapSwitch.js';
import type { RankControl } from './rankControl.js';
import { RankAction, RankErrorKind, isRepeatable, type RankError } from './rankOrder.js';

/** Ballots tried before completing the switch is left to recovery. */
const MAX_BALLOTS = 3;

export enum RolloutErrorKind {
  /** A rank could not load the map; no rank was held. */
  NotStaged = 'not-staged',
  /** A newer coordinator, or recovery under its fencing number, went first. */
  Superseded = 'superseded',
  /** The ranks switched to another map than the wanted one. */
  OtherMap = 'other-map',
  /** No ballot completed the switch. */
  Failed = 'failed',
}

export interface RolloutError {
  readonly kind: RolloutErrorKind;
  readonly detail: string;
}

export interface RolloutOptions extends MapSwitchOptions {
  readonly fencingNumber: number;
  /** Incarnation of the coordinating process. */
  readonly incarnation: string;
}

type BallotAnswer = Result<number, SwitchError | RolloutError>;

function toRolloutError(error: SwitchError | RolloutError): RolloutError {
  if (!('stage' in error)) return error;
  return { kind: RolloutErrorKind.Failed, detail: `${error.stage}: ${error.detail}` };
}

/** Rolls out maps of one group under one fencing number of its coordinator. */
export class MapRollout {
  readonly #control: RankControl;

  readonly #options: RolloutOptions;

  readonly #metrics: Metrics;

  readonly #switch: MapSwitch;

  #highestBallot: Ballot = NO_BALLOT;

  constructor(control: RankControl, options: RolloutOptions, metrics: Metrics) {
    this.#control = control;
    this.#options = options;
    this.#metrics = metrics;
    this.#switch = new MapSwitch(control, options);
  }

  /**
   * Stages a map on all ranks and switches them to it.
   *
   * @param discardVersions older maps that the ranks may discard
   * @returns the version in force
   */
  async run(
    map: ExpertMap,
    discardVersions: readonly number[],
  ): Promise<Result<number, RolloutError>> {
    const staged = await this.stage(map, discardVersions);
    if (!staged.ok) return staged;
    return this.putInForce(map.version);
  }

  /**
   * Stages a map without holding any rank.
   *
   * @param ranks ranks to stage it on; all ranks by default
   */
  async stage(
    map: ExpertMap,
    discardVersions: readonly number[],
    ranks = Array.from({ length: this.#control.ranks }, (_, rank) => rank),
  ): Promise<Result<number, RolloutError>> {
    const errors = await Promise.all(
      ranks.map((rank) => this.#stageOn(rank, map, discardVersions, this.#options.retries)),
    );
    const error = errors.find((each) => each !== undefined);
    if (!error) return Ok(map.version);
    return Err({ kind: RolloutErrorKind.NotStaged, detail: error.detail });
  }

  /** Switches all ranks to a staged map; by default to the newest one that all ranks have. */
  async putInForce(version?: number): Promise<Result<number, RolloutError>> {
    const answer = await this.#runBallots(version, MAX_BALLOTS);
    if (!answer.ok) {
      this.#metrics.count('groups.rollout_failed', { reason: answer.val.kind });
      return Err(toRolloutError(answer.val));
    }
    if (version === undefined || answer.val === version) return Ok(answer.val);
    const detail = `expert map version ${answer.val} is in force instead`;
    return Err({ kind: RolloutErrorKind.OtherMap, detail });
  }

  async #runBallots(version: number | undefined, ballotsLeft: number): Promise<BallotAnswer> {
    const { incarnation, fencingNumber } = this.#options;
    const ballot = nextBallot(this.#highestBallot, incarnation, fencingNumber);
    if (!ballot) {
      const detail = 'a rank has reported a higher fencing number';
      return Err({ kind: RolloutErrorKind.Superseded, detail });
    }
    this.#highestBallot = ballot;
    const answer = await this.#switch.run(ballot, version);
    if (answer.ok) return Ok(answer.val.mapVersion);
    this.#highestBallot = maxBallot(this.#highestBallot, answer.val.promised);
    if (ballotsLeft <= 1 || !this.#options.canOrder()) return answer;
    return this.#runBallots(version, ballotsLeft - 1);
  }

  async #stageOn(
    rank: number,
    map: ExpertMap,
    discardVersions: readonly number[],
    retriesLeft: number,
  ): Promise<RankError | undefined> {
    if (!this.#options.canOrder()) {
      const detail = 'the lease of the group is no longer held';
      return { kind: RankErrorKind.Fenced, detail, promised: this.#highestBallot };
    }
    const answer = await this.#control.order(rank, {
      action: RankAction.Stage,
      fencingNumber: this.#options.fencingNumber,
      map: { ...map, slots: [...map.slots] },
      discardVersions: [...discardVersions],
    });
    if (answer.ok) {
      this.#highestBallot = maxBallot(this.#highestBallot, answer.val.promised);
      return undefined;
    }
    if (retriesLeft === 0 || !isRepeatable(answer.val)) return answer.val;
    return this.#stageOn(rank, map, discardVersions, retriesLeft - 1);
  }
}
