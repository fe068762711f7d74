/** What waits and arrives in one pool at this entry, by rank of urgency. */
import type { PoolDemandNews } from '../../messages/demandMessage.js';

import { DecayingRate } from './decayingRate.js';
import { NO_COUNTS } from './urgencyRank.js';

const SECONDS_PER_MINUTE = 60;

function toRecord(counts: readonly number[]): Record<string, number> {
  const entries = counts.map((count, rank) => [String(rank), count] as const);
  return Object.fromEntries(entries.filter(([, count]) => count > 0));
}

export class OwnDemand {
  waiting: readonly number[] = NO_COUNTS;

  isChanged = false;

  /** Returns the requests in flight that have had no output yet. */
  readonly countPrefilling: () => number;

  #toldPrefilling = 0;

  constructor(countPrefilling: () => number) {
    this.countPrefilling = countPrefilling;
  }

  /** Whether the peers have not been told the current state. */
  get isUntold(): boolean {
    return this.isChanged || this.countPrefilling() !== this.#toldPrefilling;
  }

  readonly #arriving = new Map<number, DecayingRate>();

  noteArrival(rank: number, nowMs: number): void {
    const rate = this.#arriving.get(rank) ?? new DecayingRate();
    this.#arriving.set(rank, rate);
    rate.note(nowMs);
  }

  readArrivingPerS(rank: number, nowMs: number): number {
    return this.#arriving.get(rank)?.readPerS(nowMs) ?? 0;
  }

  read(nowMs: number): PoolDemandNews {
    const perMin = NO_COUNTS.map((_, rank) =>
      Math.round(this.readArrivingPerS(rank, nowMs) * SECONDS_PER_MINUTE),
    );
    const prefilling = this.countPrefilling();
    return { waiting: toRecord(this.waiting), arrivingPerMin: toRecord(perMin), prefilling };
  }

  noteTold(): void {
    this.isChanged = false;
    this.#toldPrefilling = this.countPrefilling();
  }
}
