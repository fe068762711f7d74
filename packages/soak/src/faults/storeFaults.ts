/** Faults of the store, as all entries see it. */
import type { Random } from '@radishbay/core/ports/random.js';
import { wait } from '@radishbay/core/wait.js';
import type { StoreStandin } from '@radishbay/fleet-platform/standin/storeStandin.js';

import { FaultKind, type Fault } from '../plan/fault.js';
import { EVERYBODY, type TouchBook } from '../record/faultTimeline.js';

/** Time that calls of a slow store take. */
const SLOW_MS = 250;

const STATUSES = [429, 500, 503];

/** Part of the answers to writes that are lost. */
const LOST_PART = 0.5;

/** Does the faults of the store; of several at a time the last one to end ends them all. */
export class StoreFaults {
  readonly #store: StoreStandin;

  readonly #touch: TouchBook;

  readonly #random: Random;

  #active = 0;

  constructor(store: StoreStandin, touch: TouchBook, random: Random) {
    this.#store = store;
    this.#touch = touch;
    this.#random = random;
  }

  /** Does a fault and waits for its end. */
  async run({ kind, forMs, draw }: Fault): Promise<void> {
    const endFault = this.#touch.noteFault(EVERYBODY, performance.now());
    this.#active += 1;
    this.#begin(kind, draw);
    await wait(forMs);
    this.#active -= 1;
    if (this.#active === 0) this.#end();
    endFault(performance.now());
  }

  #begin(kind: FaultKind, draw: number): void {
    const store = this.#store;
    if (kind === FaultKind.StoreSilent) store.isSilent = true;
    if (kind === FaultKind.StoreFailing) {
      store.failWith = STATUSES[Math.floor(draw * STATUSES.length)];
    }
    if (kind === FaultKind.StoreSlow) store.delayMs = SLOW_MS;
    if (kind === FaultKind.StoreForgets) store.forgetHistory();
    if (kind === FaultKind.StoreLosesAnswers) {
      store.losesAnswer = () => this.#random.next() < LOST_PART;
    }
  }

  #end(): void {
    const store = this.#store;
    store.isSilent = false;
    store.failWith = undefined;
    store.delayMs = 0;
    store.losesAnswer = undefined;
  }
}
