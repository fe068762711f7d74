/**
 * Faults at numbered events of a stand-in group.
 *
 * Every message between processes and every order to an engine takes the next number, so a run can
 * be repeated with a fault at any one of them.
 */

export enum FaultKind {
  /** The message, or the engine's answer, never arrives. */
  Lose = 'lose',
  Delay = 'delay',
  /** It arrives at once, and a second time later. */
  Repeat = 'repeat',
  /** The side process of that rank is killed and starts again later. */
  KillSide = 'kill-side',
  /** The side process of that rank is frozen and thawed later. */
  FreezeSide = 'freeze-side',
  /** Nothing passes to or from the rank's side process for a time. */
  CutRank = 'cut-rank',
  StallRank = 'stall-rank',
  KillProposer = 'kill-proposer',
  FreezeProposer = 'freeze-proposer',
}

export interface Fault {
  readonly event: number;
  readonly kind: FaultKind;
  readonly durationMs: number;
}

/** Numbers the events and finds the fault at each. */
export class EventFaults {
  readonly #faults: ReadonlyMap<number, Fault>;

  #events = 0;

  constructor(faults: readonly Fault[]) {
    this.#faults = new Map(faults.map((fault) => [fault.event, fault]));
  }

  /** Number of events so far. */
  get events(): number {
    return this.#events;
  }

  /** Takes the next number; returns the fault that happens there. */
  next(): Fault | undefined {
    const fault = this.#faults.get(this.#events);
    this.#events += 1;
    return fault;
  }
}
