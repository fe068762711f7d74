/**
 * Memory that all requests of an entry may hold together.
 *
 * When it runs out, requests are evicted: those whose callers have stopped first, then those that
 * have sent least. The request that needs room is one of them, so that a body which arrives
 * steadily never makes room for one that does not.
 */
import { RefusalReason } from '../model/reason.js';

import { compareForEviction } from './evictionOrder.js';
import type { MemoryAccount } from './memoryAccount.js';
import { getRegion, MemoryKind, MemoryRegion } from './memoryKind.js';

/** Part of a region that is in use after an eviction, so that not each new request evicts. */
const EVICTED_TO_FRACTION = 0.9;

export interface MemoryBudgetOptions {
  readonly limitBytes: Readonly<Record<MemoryRegion, number>>;
  /** Monotonic clock, in milliseconds. */
  readonly getNowMs: () => number;
}

/** Budget of one process. */
export class MemoryBudget {
  readonly #options: MemoryBudgetOptions;

  readonly #accounts = new Set<MemoryAccount>();

  readonly #heldByKind: Record<MemoryKind, number> = {
    [MemoryKind.Head]: 0,
    [MemoryKind.Body]: 0,
    [MemoryKind.Unread]: 0,
    [MemoryKind.UpstreamBody]: 0,
    [MemoryKind.Response]: 0,
    [MemoryKind.Answer]: 0,
  };

  readonly #held: Record<MemoryRegion, number> = {
    [MemoryRegion.Heap]: 0,
    [MemoryRegion.Buffers]: 0,
  };

  readonly #evicted = new Map<RefusalReason, number>();

  #isEvicting = false;

  constructor(options: MemoryBudgetOptions) {
    this.#options = options;
  }

  get nowMs(): number {
    return this.#options.getNowMs();
  }

  /** Requests that hold memory. */
  get accounts(): ReadonlySet<MemoryAccount> {
    return this.#accounts;
  }

  readHeldBytes(kind: MemoryKind): number {
    return this.#heldByKind[kind];
  }

  readLimitBytes(region: MemoryRegion): number {
    return this.#options.limitBytes[region];
  }

  noteEvicted(reason: RefusalReason): void {
    this.#evicted.set(reason, (this.#evicted.get(reason) ?? 0) + 1);
  }

  /** Returns the evictions by reason since the last call. */
  takeEvicted(): ReadonlyMap<RefusalReason, number> {
    const taken = new Map(this.#evicted);
    this.#evicted.clear();
    return taken;
  }

  addAccount(account: MemoryAccount): void {
    this.#accounts.add(account);
  }

  removeAccount(account: MemoryAccount): void {
    this.#accounts.delete(account);
  }

  hasRoom(kind: MemoryKind, bytes: number): boolean {
    const region = getRegion(kind);
    return this.#held[region] + bytes <= this.readLimitBytes(region);
  }

  /** @returns false if the account itself was evicted to make room */
  add(kind: MemoryKind, bytes: number, account: MemoryAccount): boolean {
    this.subtract(kind, -bytes);
    const region = getRegion(kind);
    if (bytes < 0 || this.#held[region] <= this.readLimitBytes(region)) return true;
    this.#evict(region, account);
    return this.#accounts.has(account);
  }

  subtract(kind: MemoryKind, bytes: number): void {
    this.#heldByKind[kind] -= bytes;
    this.#held[getRegion(kind)] -= bytes;
  }

  /**
   * Evicts until the target is met, or until the turn of the account that needs room, if there is
   * room for it then. That account goes last if nobody else can.
   */
  #evict(region: MemoryRegion, needing: MemoryAccount): void {
    if (this.#isEvicting) return;
    this.#isEvicting = true;
    const { nowMs } = this;
    const targetBytes = this.readLimitBytes(region) * EVICTED_TO_FRACTION;
    const ordered = [...this.#accounts]
      .filter((account) => account.isEvictable)
      .map((account) => ({ account, progress: account.readProgress(nowMs) }))
      .sort((a, b) => compareForEviction(a.progress, b.progress))
      .map(({ account }) => account);
    try {
      [...ordered, needing].every((account) => {
        const sufficientBytes = account === needing ? this.readLimitBytes(region) : targetBytes;
        if (this.#held[region] <= sufficientBytes) return false;
        if (this.#accounts.has(account)) account.evict(RefusalReason.MemoryShort);
        return true;
      });
    } finally {
      this.#isEvicting = false;
    }
  }
}
