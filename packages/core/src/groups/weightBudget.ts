/**
 * Shares the byte rate of the weight store among all who draw from it, over the whole fleet.
 *
 * The holder of the lease grants parts of the rate for a term. A part is free again only when its
 * term is over, so the parts in use never exceed the rate. Nothing is written to the platform: a
 * new holder grants nothing for one term after it took the lease, by when every grant of the
 * earlier one has ended. Whoever draws counts the term from the moment that it asked.
 */

/** Why weights are drawn, most urgent first. */
export enum LoadPurpose {
  /** An upstream in cold start: callers wait for it. */
  ColdStart = 'cold-start',
  /** A model, adapter or version that was ordered. */
  ModelLoad = 'model-load',
  Rebalance = 'rebalance',
}

/** A wish to draw weights; repeated until it is granted or over. */
export interface BandwidthRequest {
  /** Name of the drawing process and what it loads. */
  readonly id: string;
  readonly purpose: LoadPurpose;
  readonly bytes: number;
}

export interface BandwidthGrant {
  readonly id: string;
  readonly bytesPerSecond: number;
  /** Counted by the drawing process from its request. */
  readonly validMs: number;
}

export interface WeightBudgetOptions {
  readonly bytesPerSecond: number;
  /** Most that one drawing process can use. */
  readonly maxGrantBytesPerSecond: number;
  /** Parts smaller than this are not granted. */
  readonly minGrantBytesPerSecond: number;
  readonly termMs: number;
}

interface ActiveGrant {
  readonly bytesPerSecond: number;
  readonly endsAtMs: number;
}

const PURPOSES = Object.values(LoadPurpose);

const MS_PER_SECOND = 1000;

/** Rate that is enough to draw all bytes within one term. */
function computeUsefulBytesPerSecond(request: BandwidthRequest, termMs: number): number {
  return Math.ceil((request.bytes * MS_PER_SECOND) / termMs);
}

/** Grants of one holder of the lease. */
export class WeightBudget {
  readonly #options: WeightBudgetOptions;

  readonly #firstGrantAtMs: number;

  #active: readonly ActiveGrant[] = [];

  /** @param heldSinceMs when this process took the lease, by its own clock */
  constructor(options: WeightBudgetOptions, heldSinceMs: number) {
    this.#options = options;
    this.#firstGrantAtMs = heldSinceMs + options.termMs;
  }

  /** Rate that is not granted now. */
  computeFreeBytesPerSecond(nowMs: number): number {
    if (nowMs < this.#firstGrantAtMs) return 0;
    this.#active = this.#active.filter((grant) => grant.endsAtMs > nowMs);
    const used = this.#active.reduce((sum, grant) => sum + grant.bytesPerSecond, 0);
    return Math.max(0, this.#options.bytesPerSecond - used);
  }

  /**
   * Grants what is free: to the most urgent purpose first, in even parts within it.
   *
   * @param requests what is wanted now; what is not granted is asked for again
   */
  grant(requests: readonly BandwidthRequest[], nowMs: number): readonly BandwidthGrant[] {
    return PURPOSES.flatMap((purpose) => {
      const same = requests.filter((request) => request.purpose === purpose);
      return this.#grantEvenly(same, nowMs);
    });
  }

  /** Smallest wishes first, so that what they leave goes to the larger ones. */
  #grantEvenly(requests: readonly BandwidthRequest[], nowMs: number): readonly BandwidthGrant[] {
    const { termMs } = this.#options;
    const sorted = [...requests].sort((first, second) => first.bytes - second.bytes);
    return sorted.flatMap((request, index) => {
      const free = this.computeFreeBytesPerSecond(nowMs);
      const even = Math.floor(free / (sorted.length - index));
      const part = Math.max(even, Math.min(free, this.#options.minGrantBytesPerSecond));
      const useful = Math.min(
        computeUsefulBytesPerSecond(request, termMs),
        this.#options.maxGrantBytesPerSecond,
      );
      const bytesPerSecond = Math.min(part, useful);
      const isTooLittle = bytesPerSecond < Math.min(useful, this.#options.minGrantBytesPerSecond);
      if (isTooLittle || bytesPerSecond <= 0) return [];
      this.#active = [...this.#active, { bytesPerSecond, endsAtMs: nowMs + termMs }];
      return [{ id: request.id, bytesPerSecond, validMs: termMs }];
    });
  }
}

/**
 * Bytes that a drawing process may still order from the weight store under a grant.
 *
 * @param requestedAtMs when it asked for the grant, by its own clock
 */
export function computeGrantBytesLeft(
  grant: BandwidthGrant,
  requestedAtMs: number,
  nowMs: number,
): number {
  const leftMs = requestedAtMs + grant.validMs - nowMs;
  return Math.max(0, Math.floor((grant.bytesPerSecond * leftMs) / MS_PER_SECOND));
}
