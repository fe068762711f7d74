/**
 * Brings a new expert map into force: stages it on all ranks while the old one runs, then switches.
 *
 * The map's version was taken by a conditional write before, so no two maps share one.
 */
import { Err, Ok, type Result } from '../outcome.js';
import type { Metrics } from '../ports/metrics.js';

import { maxBallot, nextBallot, NO_BALLOT, type Ballot } from './ballot.js';
import type { ExpertMap } from './expertMap.js';
import { MapSwitch, type MapSwitchOptions, type SwitchError } from './mapSwitch.js';
import type { RankControl } from './rankControl.js';
import { RankAction, RankErrorKind, isRepeatable, type RankError } from './rankOrder.js';

/** Ballots tried before the rest is left to recovery. */
const MAX_BALLOTS = 3;

export enum RolloutErrorKind {
  /** Nothing was held: a rank could not take the map. */
  NotStaged = 'not-staged',
  /** A newer coordinator or recovery went ahead. */
  Superseded = 'superseded',
  /** The ranks agree on another map than the one that was wanted. */
  OtherMap = 'other-map',
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

/** A coordinator's work on the map of one group, under one fencing number. */
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
   * Stages a map on all ranks and puts it in force.
   *
   * @param discardVersions older maps that no rank needs any more
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
   * Stages a map; nothing is held yet.
   *
   * @param ranks ranks to stage it on; left out, all of them
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

  /** Switches all ranks to a staged map, or with none named to the newest that all have. */
  async putInForce(version?: number): Promise<Result<number, RolloutError>> {
    const answer = await this.#runBallots(version, MAX_BALLOTS);
    if (!answer.ok) {
      this.#metrics.count('groups.rollout_failed', { reason: answer.val.kind });
      return Err(toRolloutError(answer.val));
    }
    if (version === undefined || answer.val === version) return Ok(answer.val);
    const detail = `version ${answer.val} is in force`;
    return Err({ kind: RolloutErrorKind.OtherMap, detail });
  }

  async #runBallots(version: number | undefined, ballotsLeft: number): Promise<BallotAnswer> {
    const { incarnation, fencingNumber } = this.#options;
    const ballot = nextBallot(this.#highestBallot, incarnation, fencingNumber);
    if (!ballot) {
      const detail = 'a newer coordinator has been seen';
      return Err({ kind: RolloutErrorKind.Superseded, detail });
    }
    this.#highestBallot = ballot;
    const answer = await this.#switch.run(ballot, version);
    if (answer.ok) return Ok(answer.val.mapVersion);
    this.#highestBallot = maxBallot(this.#highestBallot, answer.val.promised);
    if (ballotsLeft <= 1 || !this.#options.mayOrder()) return answer;
    return this.#runBallots(version, ballotsLeft - 1);
  }

  async #stageOn(
    rank: number,
    map: ExpertMap,
    discardVersions: readonly number[],
    retriesLeft: number,
  ): Promise<RankError | undefined> {
    if (!this.#options.mayOrder()) {
      const detail = 'the lease is no longer held';
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
