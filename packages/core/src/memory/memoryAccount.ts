/** Memory held for one request. */
import type { RefusalReason } from '../model/reason.js';

import type { CallerProgress } from './evictionOrder.js';
import { MemoryKind } from './memoryKind.js';
import type { MemoryBudget } from './memoryBudget.js';

const KINDS = Object.values(MemoryKind);

/** What the request waits for. */
export enum Awaited {
  /** The entry or an upstream; the request is never evicted. */
  Nothing = 'nothing',
  /** The rest of its body. */
  Body = 'body',
  /** The caller, to read its answer. */
  Reader = 'reader',
}

export interface MemoryAccountOptions {
  readonly budget: MemoryBudget;
  /** Declared length of the body, or the largest one allowed if none is declared. */
  readonly expectedBytes: number;
  /** Ends the request and frees what it holds. */
  readonly onEvict: (reason: RefusalReason) => void;
}

/** Sets the memory held for one request, by kind, until it is released. */
export class MemoryAccount {
  readonly #options: MemoryAccountOptions;

  readonly #held: Record<MemoryKind, number> = {
    [MemoryKind.Head]: 0,
    [MemoryKind.Body]: 0,
    [MemoryKind.Unread]: 0,
    [MemoryKind.UpstreamBody]: 0,
    [MemoryKind.Response]: 0,
    [MemoryKind.Answer]: 0,
  };

  #awaited = Awaited.Nothing;

  #movedAtMs = 0;

  #arrivedBytes = 0;

  #isReleased = false;

  constructor(options: MemoryAccountOptions) {
    this.#options = options;
    options.budget.addAccount(this);
  }

  get isEvictable(): boolean {
    return this.#awaited !== Awaited.Nothing;
  }

  get awaited(): Awaited {
    return this.#awaited;
  }

  /** Sets what the request waits for, from now on. */
  await(awaited: Awaited, nowMs: number): void {
    this.#awaited = awaited;
    this.#movedAtMs = nowMs;
  }

  /** Notes bytes of the body. */
  noteArrived(bytes: number, nowMs: number): void {
    this.#arrivedBytes += bytes;
    this.#movedAtMs = nowMs;
  }

  /** Starts the idle time anew, as the caller could not do anything until now. */
  resetIdle(nowMs: number): void {
    this.#movedAtMs = nowMs;
  }

  /** Time for which the caller has neither sent nor read what the request waits for. */
  readIdleMs(nowMs: number): number {
    const isHeldBack = this.#awaited === Awaited.Body && this.#held[MemoryKind.Unread] > 0;
    return this.isEvictable && !isHeldBack ? nowMs - this.#movedAtMs : 0;
  }

  readProgress(nowMs: number): CallerProgress {
    const { expectedBytes } = this.#options;
    const arrivedFraction = expectedBytes > 0 ? this.#arrivedBytes / expectedBytes : 1;
    return { idleMs: this.readIdleMs(nowMs), arrivedFraction };
  }

  /**
   * Sets the bytes held of one kind.
   *
   * @returns false if there is no room: the request has been evicted
   */
  hold(kind: MemoryKind, bytes: number): boolean {
    if (this.#isReleased) return true;
    const addedBytes = bytes - this.#held[kind];
    if (addedBytes === 0) return true;
    this.#held[kind] = bytes;
    return this.#options.budget.add(kind, addedBytes, this);
  }

  /** Sets the bytes held of one kind only if there is room; evicts nothing. */
  tryHold(kind: MemoryKind, bytes: number): boolean {
    if (!this.#options.budget.hasRoom(kind, bytes - this.#held[kind])) return false;
    return this.hold(kind, bytes);
  }

  /** Ends the request. */
  evict(reason: RefusalReason): void {
    const { budget, onEvict } = this.#options;
    if (this.#isReleased) return;
    budget.noteEvicted(reason);
    // Ending a request can admit others, whose need for memory must not evict this one again.
    this.release();
    onEvict(reason);
  }

  /** Gives back everything; nothing more is held from now on. */
  release(): void {
    if (this.#isReleased) return;
    this.#isReleased = true;
    const { budget } = this.#options;
    budget.removeAccount(this);
    KINDS.forEach((kind) => {
      if (this.#held[kind] > 0) budget.subtract(kind, this.#held[kind]);
    });
  }
}
