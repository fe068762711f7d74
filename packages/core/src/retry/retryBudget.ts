/**
 * Retry budget: bounds retries to a share of the requests in a sliding window.
 *
 * The floor allows retries at low traffic and is too small to cause a retry storm.
 */

/** Length of the sliding window. */
const WINDOW_MS = 30_000;

/** Granularity of the sliding window. */
const SLOT_MS = 1_000;

/** Retries allowed in a window, however few requests it has. */
const RETRY_FLOOR = 5;

/** Counts of one slot of the sliding window. */
interface Slot {
  readonly startedAtMs: number;
  requests: number;
  retries: number;
}

/** Parameters of a retry budget. */
export interface RetryBudgetOptions {
  /** Length of the sliding window. */
  readonly windowMs: number;
  /** Retries allowed in a window, however few requests it has. */
  readonly floor: number;
}

const readDefaults = (): RetryBudgetOptions => ({ windowMs: WINDOW_MS, floor: RETRY_FLOOR });

/** Counts requests and retries in slots, which expire when they are next read; needs no timer. */
export class RetryBudget {
  readonly #readOptions: () => RetryBudgetOptions;

  #slots: Slot[] = [];

  /** @param readOptions called for each use, as settings and the number of entries change */
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
   * @param share share of the requests in the window that may be retried
   * @param nowMs time by the runtime's clock
   * @returns false if the budget is spent
   */
  take(share: number, nowMs: number): boolean {
    const slot = this.#openSlot(nowMs);
    if (!this.canTake(share, nowMs)) return false;
    slot.retries += 1;
    return true;
  }

  /** Whether the budget allows a retry now; takes nothing from it. */
  canTake(share: number, nowMs: number): boolean {
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
