/**
 * Allocates the read bandwidth of the weight store among all processes that load weights.
 *
 * The lease holder grants parts of the bandwidth for a fixed term. A part is free again only after
 * its term, so the grants in use never exceed the bandwidth. Nothing is stored on the platform: a
 * new holder grants nothing for one term after it took the lease, by when every grant of the
 * previous holder has expired. The receiver of a grant counts the term from its request.
 */

/** Purposes of loading weights, most urgent first. */
export enum LoadPurpose {
  /** An upstream in cold start, which callers are waiting for. */
  ColdStart = 'cold-start',
  /** An ordered load of a model, adapter or version. */
  ModelLoad = 'model-load',
  /** New expert replicas for a rebalanced map. */
  Rebalance = 'rebalance',
}

/** Request for bandwidth to load weights; repeated until it is granted or obsolete. */
export interface BandwidthRequest {
  /** Name of the loading process and what it loads. */
  readonly id: string;
  readonly purpose: LoadPurpose;
  /** Size of the weights to load. */
  readonly bytes: number;
}

/** Bandwidth granted for one term. */
export interface BandwidthGrant {
  readonly id: string;
  readonly bytesPerSecond: number;
  /** Validity, counted by the loading process from its request. */
  readonly validMs: number;
}

export interface WeightBudgetOptions {
  /** Read bandwidth of the weight store. */
  readonly bytesPerSecond: number;
  /** Most bandwidth that one loading process can use. */
  readonly maxGrantBytesPerSecond: number;
  /** Smallest grant, unless a request needs less. */
  readonly minGrantBytesPerSecond: number;
  /** Validity of a grant. */
  readonly termMs: number;
}

interface ActiveGrant {
  readonly bytesPerSecond: number;
  readonly endsAtMs: number;
}

const PURPOSES = Object.values(LoadPurpose);

const MS_PER_SECOND = 1000;

/** Bandwidth that is enough to load all requested bytes within one term. */
function computeUsefulBytesPerSecond(request: BandwidthRequest, termMs: number): number {
  return Math.ceil((request.bytes * MS_PER_SECOND) / termMs);
}

/** Bandwidth grants of one lease holder. */
export class WeightBudget {
  readonly #options: WeightBudgetOptions;

  readonly #firstGrantAtMs: number;

  #active: readonly ActiveGrant[] = [];

  /** @param heldSinceMs when this process took the lease, by its own clock */
  constructor(options: WeightBudgetOptions, heldSinceMs: number) {
    this.#options = options;
    this.#firstGrantAtMs = heldSinceMs + options.termMs;
  }

  /** Bandwidth that is not granted at present; 0 during the first term of this holder. */
  computeFreeBytesPerSecond(nowMs: number): number {
    if (nowMs < this.#firstGrantAtMs) return 0;
    this.#active = this.#active.filter((grant) => grant.endsAtMs > nowMs);
    const used = this.#active.reduce((sum, grant) => sum + grant.bytesPerSecond, 0);
    return Math.max(0, this.#options.bytesPerSecond - used);
  }

  /**
   * Grants the free bandwidth: by urgency of the purposes, and evenly within a purpose.
   *
   * @param requests open requests; those that get no grant have to be repeated
   */
  grant(requests: readonly BandwidthRequest[], nowMs: number): readonly BandwidthGrant[] {
    return PURPOSES.flatMap((purpose) => {
      const same = requests.filter((request) => request.purpose === purpose);
      return this.#grantEvenly(same, nowMs);
    });
  }

  /** Serves the smallest requests first, so that what they leave goes to the larger ones. */
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
 * Bytes that a process may still load from the weight store under a grant.
 *
 * @param requestedAtMs when the process requested the grant, by its own clock
 */
export function computeGrantBytesLeft(
  grant: BandwidthGrant,
  requestedAtMs: number,
  nowMs: number,
): number {
  const leftMs = requestedAtMs + grant.validMs - nowMs;
  return Math.max(0, Math.floor((grant.bytesPerSecond * leftMs) / MS_PER_SECOND));
}
