/**
 * A whole group as one rank to the watch for forsaken holds: held where any rank is.
 *
 * As no rank steps while one is held, a first rank that has stepped since the last look speaks for
 * all, and the others are not asked. A group with a rank that has no map yet counts as not held, as
 * only the weight store can help it.
 */
import { Err, Ok } from '../outcome.js';

import { maxBallot, NO_BALLOT, type Ballot } from './ballot.js';
import type { LinkRankControl } from './linkRankControl.js';
import { RankAction, RankErrorKind, type RankAnswer, type RankState } from './rankOrder.js';

function findPromised(states: readonly RankState[]): Ballot {
  return states.reduce((seen, state) => maxBallot(seen, state.promised), NO_BALLOT);
}

/** Reads a group for {@link HoldWatch}. */
export class GroupStateReader {
  readonly #control: LinkRankControl;

  /** Steps of the first rank at the last look. */
  #lastSteps: number | undefined;

  constructor(control: LinkRankControl) {
    this.#control = control;
  }

  /** Reads the group; with one rank out of reach nobody here can recover the group. */
  async handle(): Promise<RankAnswer> {
    if (!this.#control.isComplete) {
      return Err({ kind: RankErrorKind.Lost, detail: 'a rank has no link', promised: NO_BALLOT });
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
    const noRanks = { kind: RankErrorKind.Invalid, detail: 'no ranks', promised: NO_BALLOT };
    if (!first) return Err(noRanks);
    const isRecoverable = states.every((state) => state.mapVersion > 0);
    const isHeld = isRecoverable && states.some((state) => state.isHeld);
    return Ok({ ...first, isHeld, promised: findPromised(states) });
  }
}
