/**
 * Bounds retries to a share of the requests over a sliding window.
 *
 * The floor lets an entry with little traffic retry at all; it is too small for a storm.
 */

/** Window over which requests and retries are counted. */
const WINDOW_MS = 30_000;

const SLOT_MS = 1_000;

/** Retries in a window that are allowed however few requests there were. */
const RETRY_FLOOR = 5;

interface Slot {
  readonly startedAtMs: number;
  requests: number;
  retries: number;
}

export interface RetryBudgetOptions {
  readonly windowMs: number;
  /** Retries in a window that are allowed however few requests there were. */
  readonly floor: number;
}

const readDefaults = (): RetryBudgetOptions => ({ windowMs: WINDOW_MS, floor: RETRY_FLOOR });

/** Counts of the last window, in slots; it needs no timer. */
export class RetryBudget {
  readonly #readOptions: () => RetryBudgetOptions;

  #slots: Slot[] = [];

  /** @param readOptions read for each retry, as settings change and entries come and go */
  constructor(readOptions = readDefaults) {
    this.#readOptions = readOptions;
  }

  /** Counts a request. */
  noteRequest(nowMs: number): void {
    this.#openSlot(nowMs).requests += 1;
  }

  /**
   * Takes one retry from the budget.
   *
   * @param share retries allowed for each request
   * @param nowMs time by the runtime's clock
   * @returns false where the budget is spent
   */
  take(share: number, nowMs: number): boolean {
    const slot = this.#openSlot(nowMs);
    if (!this.mayTake(share, nowMs)) return false;
    slot.retries += 1;
    return true;
  }

  /** Whether one retry could be taken now. */
  mayTake(share: number, nowMs: number): boolean {
    this.#openSlot(nowMs);
    const requests = this.#slots.reduce((sum, each) => sum + each.requests, 0);
    const retries = this.#slots.reduce((sum, each) => sum + each.retries, 0);
    return retries + 1 <= Math.max(this.#readOptions().floor, requests * share);
  }

  #openSlot(nowMs: number): Slot {
    const { windowMs } = this.#readOptions();
    this.#slots = this.#slots.filter((slot) => slot.startedAtMs > nowMs - windowMs);
    const last = this.#slots[this.#slots.length - 1];
    if (last && nowMs < last.startedAtMs + SLOT_MS) return last;
    const slot = { startedAtMs: nowMs, requests: 0, retries: 0 };
    this.#slots.push(slot);
    return slot;
  }
}
