/** Faults of the store that affect all entries. */
import type { Random } from '@radishbay/core/ports/random.js';
import { wait } from '@radishbay/core/wait.js';
import type { LostWrite, StoreStandin } from '@radishbay/fleet-platform/standin/storeStandin.js';

import { FaultKind, type Fault } from '../plan/fault.js';
import { ALL_SUBJECTS, type FaultTimeline } from '../record/faultTimeline.js';

/** Delay of each call while the store is slow. */
const SLOW_CALL_MS = 250;

/** Range of the time for which the store does not answer before it returns from a copy. */
const AWAY_MIN_MS = 100;
const AWAY_RANGE_MS = 900;

/** Time in which all upstreams write their entries again, as with their heartbeats. */
const REWRITE_MS = 1_200;

const FAILURE_STATUSES = [429, 500, 503];

/** Fraction of the responses to writes that are lost. */
const LOST_RESPONSE_RATIO = 0.5;

const ENTRY_KIND = 'radishbay-entries';

const UPSTREAM_KIND = 'servers';

/** Injects faults into the store; overlapping faults all end when the last one ends. */
export class StoreFaults {
  readonly #store: StoreStandin;

  readonly #faultTimeline: FaultTimeline;

  readonly #random: Random;

  #activeCount = 0;

  #isReturning = false;

  constructor(store: StoreStandin, faultTimeline: FaultTimeline, random: Random) {
    this.#store = store;
    this.#faultTimeline = faultTimeline;
    this.#random = random;
  }

  /** Injects a fault and waits for its end. */
  async inject({ kind, forMs, draw }: Fault): Promise<void> {
    if (kind === FaultKind.StoreReturns) {
      await this.#returnFromCopy(forMs, draw);
      return;
    }
    const endFault = this.#faultTimeline.beginFault(ALL_SUBJECTS, performance.now());
    this.#activeCount += 1;
    this.#apply(kind, draw);
    await wait(forMs);
    this.#activeCount -= 1;
    if (this.#activeCount === 0) this.#clear();
    endFault(performance.now());
  }

  /** @param ageMs age of the copy when the store goes away */
  async #returnFromCopy(ageMs: number, draw: number): Promise<void> {
    // A copy that is older than the last return would lack writes that are not known to be lost.
    if (this.#isReturning) return;
    this.#isReturning = true;
    const copy = this.#store.takeCopy();
    await wait(ageMs);
    const endFault = this.#faultTimeline.beginFault(ALL_SUBJECTS, performance.now());
    this.#store.goAway();
    await wait(AWAY_MIN_MS + draw * AWAY_RANGE_MS);
    const lost = this.#store.returnFrom(copy);
    await Promise.all(lost.map((write) => this.#rewrite(write)));
    this.#isReturning = false;
    endFault(performance.now());
  }

  /** Operators write again at once, upstreams with their next heartbeat, entries by themselves. */
  async #rewrite(write: LostWrite): Promise<void> {
    if (write.kind === ENTRY_KIND) return;
    if (write.kind === UPSTREAM_KIND) await wait(this.#random.next() * REWRITE_MS);
    this.#store.rewrite(write);
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
