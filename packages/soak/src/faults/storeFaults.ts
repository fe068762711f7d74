/** Faults of the store that affect all entries. */
import type { Random } from '@radishbay/core/ports/random.js';
import { wait } from '@radishbay/core/wait.js';
import type { StoreStandin } from '@radishbay/fleet-platform/standin/storeStandin.js';

import { FaultKind, type Fault } from '../plan/fault.js';
import { ALL_SUBJECTS, type FaultTimeline } from '../record/faultTimeline.js';

/** Delay of each call while the store is slow. */
const SLOW_CALL_MS = 250;

const FAILURE_STATUSES = [429, 500, 503];

/** Fraction of the responses to writes that are lost. */
const LOST_RESPONSE_RATIO = 0.5;

/** Injects faults into the store; overlapping faults all end when the last one ends. */
export class StoreFaults {
  readonly #store: StoreStandin;

  readonly #faultTimeline: FaultTimeline;

  readonly #random: Random;

  #activeCount = 0;

  constructor(store: StoreStandin, faultTimeline: FaultTimeline, random: Random) {
    this.#store = store;
    this.#faultTimeline = faultTimeline;
    this.#random = random;
  }

  /** Injects a fault and waits for its end. */
  async inject({ kind, forMs, draw }: Fault): Promise<void> {
    const endFault = this.#faultTimeline.beginFault(ALL_SUBJECTS, performance.now());
    this.#activeCount += 1;
    this.#apply(kind, draw);
    await wait(forMs);
    this.#activeCount -= 1;
    if (this.#activeCount === 0) this.#clear();
    endFault(performance.now());
  }

  #apply(kind: FaultKind, draw: number): void {
    const store = this.#store;
    if (kind === FaultKind.StoreSilent) store.isSilent = true;
    if (kind === FaultKind.StoreFailing) {
      store.failWith = FAILURE_STATUSES[Math.floor(draw * FAILURE_STATUSES.length)];
    }
    if (kind === FaultKind.StoreSlow) store.delayMs = SLOW_CALL_MS;
    if (kind === FaultKind.StoreForgets) store.compactHistory();
    if (kind === FaultKind.StoreLosesAnswers) {
      store.isAnswerLost = () => this.#random.next() < LOST_RESPONSE_RATIO;
    }
  }

  #clear(): void {
    const store = this.#store;
    store.isSilent = false;
    store.failWith = undefined;
    store.delayMs = 0;
    store.isAnswerLost = undefined;
  }
}
