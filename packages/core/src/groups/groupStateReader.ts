/**
 * Reads the state of a whole group as if it were one rank: held if any rank is held.
 *
 * No rank steps while one is held, so if rank 0 has stepped since the last read, the group is not
 * held and the other ranks are not read. A group with a rank that has no map counts as not held:
 * recovery cannot help it, as the weights have to come from the weight store.
 */
import { Err, Ok } from '../outcome.js';

import { maxBallot, NO_BALLOT, type Ballot } from './ballot.js';
import type { LinkRankControl } from './linkRankControl.js';
import { RankAction, RankErrorKind, type RankAnswer, type RankState } from './rankOrder.js';

function findPromised(states: readonly RankState[]): Ballot {
  return states.reduce((seen, state) => maxBallot(seen, state.promised), NO_BALLOT);
}

/** Reads the state of one group for the hold watchdog. */
export class GroupStateReader {
  readonly #control: LinkRankControl;

  /** Steps of rank 0 at the last read. */
  #lastSteps: number | undefined;

  constructor(control: LinkRankControl) {
    this.#control = control;
  }

  /** Reads the group; fails if a rank is unreachable, as recovery needs all ranks. */
  async handle(): Promise<RankAnswer> {
    if (!this.#control.isComplete) {
      return Err({ kind: RankErrorKind.Lost, detail: 'no link to a rank', promised: NO_BALLOT });
    }
    const first = await this.#control.order(0, { action: RankAction.Read });
    if (!first.ok) return first;
    const hasStepped = first.val.steps !== this.#lastSteps;
    this.#lastSteps = first.val.steps;
    return hasStepped ? Ok({ ...first.val, isHeld: false }) : this.#readAll();
  }

  async #readAll(): Promise<RankAnswer> {
    const ranks = Array.from({ length: this.#control.ranks }, (_, rank) => rank);
    const answers = await Promise.all(
      ranks.map((rank) => this.#control.order(rank, { action: RankAction.Read })),
    );
    const failed = answers.find((answer) => !answer.ok);
    if (failed) return failed;
    const states = answers.flatMap((answer) => (answer.ok ? [answer.val] : []));
    const [first] = states;
    const noRanks = {
      kind: RankErrorKind.Invalid,
      detail: 'group has no ranks',
      promised: NO_BALLOT,
    };
    if (!first) return Err(noRanks);
    const isRecoverable = states.every((state) => state.mapVersion > 0);
    const isHeld = isRecoverable && states.some((state) => state.isHeld);
    return Ok({ ...first, isHeld, promised: findPromised(states) });
  }
}
