/** Links from one proposer to the side processes of a group, with faults at every message. */
import { NO_BALLOT } from '@radishbay/core/groups/ballot.js';
import { RankControl } from '@radishbay/core/groups/rankControl.js';
import {
  RankErrorKind,
  type RankAnswer,
  type RankOrder,
} from '@radishbay/core/groups/rankOrder.js';
import { Err } from '@radishbay/core/outcome.js';

import { FaultKind, type EventFaults, type Fault } from './eventFaults.js';
import type { Proposer } from './proposer.js';
import type { SideSlot } from './sideSlot.js';

export interface LinkTimes {
  readonly oneWayMs: number;
  readonly timeoutMs: number;
}

const LOST: RankAnswer = Err({
  kind: RankErrorKind.Lost,
  detail: 'no answer in time',
  promised: NO_BALLOT,
});

/** Sends orders over links that lose, delay and repeat messages. */
export class FaultyControl extends RankControl {
  readonly #slots: readonly SideSlot[];

  readonly #times: LinkTimes;

  readonly #faults: EventFaults;

  readonly #proposer: Proposer;

  /** Messages sent, answers included. */
  messages = 0;

  constructor(
    slots: readonly SideSlot[],
    times: LinkTimes,
    faults: EventFaults,
    proposer: Proposer,
  ) {
    super();
    this.#slots = slots;
    this.#times = times;
    this.#faults = faults;
    this.#proposer = proposer;
  }

  override get ranks(): number {
    return this.#slots.length;
  }

  override order(rank: number, order: RankOrder): Promise<RankAnswer> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.#wake(() => resolve(LOST)), this.#times.timeoutMs);
      const settle = (answer: RankAnswer): void => {
        clearTimeout(timer);
        resolve(answer);
      };
      this.#send(rank, () => this.#deliver(rank, order, settle));
    });
  }

  #deliver(rank: number, order: RankOrder, settle: (answer: RankAnswer) => void): void {
    this.#slots[rank]?.handle(order).then((answer) => {
      this.#send(rank, () => this.#wake(() => settle(answer)));
    });
  }

  /** Puts one message on its way, in either direction. */
  #send(rank: number, arrive: () => void): void {
    if (this.#proposer.isDead) return;
    this.messages += 1;
    const fault = this.#faults.next();
    if (fault) this.#strike(rank, fault);
    if (fault?.kind === FaultKind.Lose || this.#slots[rank]?.isCut) return;
    const lateMs = fault?.durationMs ?? 0;
    if (fault?.kind === FaultKind.Repeat) setTimeout(arrive, this.#times.oneWayMs + lateMs);
    const isDelayed = fault?.kind === FaultKind.Delay;
    setTimeout(arrive, this.#times.oneWayMs + (isDelayed ? lateMs : 0));
  }

  #strike(rank: number, fault: Fault): void {
    this.#slots[rank]?.strike(fault);
    this.#proposer.strike(fault);
  }

  /** Runs something in the proposer once it is not frozen; never where it is dead. */
  #wake(run: () => void): void {
    if (this.#proposer.isDead) return;
    const waitMs = this.#proposer.frozenUntilMs - Date.now();
    if (waitMs > 0) setTimeout(() => this.#wake(run), waitMs);
    else run();
  }
}
