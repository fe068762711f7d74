/** Simulates the prefix cache of an engine: a limited number of blocks with LRU eviction. */
import type { CacheEvent } from '@radishbay/core/model/report.js';

/** Number of published events kept for readers that poll late. */
const MAX_EVENTS = 10_000;

interface TimestampedEvent {
  readonly event: CacheEvent;
  readonly atMs: number;
}

export interface PrefixCacheOptions {
  /** Capacity of the cache in blocks. */
  readonly capacityBlocks: number;
  /** Delay before an event becomes visible to readers. */
  readonly eventLagMs: number;
  /** Events whose sequence number is divisible by this are never published; 0 publishes all. */
  readonly gapEvery: number;
}

/** LRU cache of prompt prefix blocks that publishes an event for each store and eviction. */
export class PrefixCache {
  readonly #options: PrefixCacheOptions;

  /** Block hashes, least recently used first. */
  readonly #blocks = new Set<string>();

  #events: TimestampedEvent[] = [];

  #sequence = 0;

  constructor(options: PrefixCacheOptions) {
    this.#options = options;
  }

  get sizeBlocks(): number {
    return this.#blocks.size;
  }

  /**
   * Looks up the blocks of a prompt, stores the missing ones and marks all as recently used.
   *
   * @param hashes hashes of the prompt's leading blocks, each covering all blocks before it
   * @returns number of leading blocks that were already cached
   */
  use(hashes: readonly string[], nowMs: number): number {
    const firstMissing = hashes.findIndex((hash) => !this.#blocks.has(hash));
    const heldBlocks = firstMissing < 0 ? hashes.length : firstMissing;
    const stored = hashes.filter((hash) => !this.#blocks.has(hash));
    hashes.forEach((hash) => {
      this.#blocks.delete(hash);
      this.#blocks.add(hash);
    });
    this.#publish(true, stored, nowMs);
    this.#publish(false, this.#evict(), nowMs);
    return heldBlocks;
  }

  /** Discards all blocks and events and restarts the numbering, as on a restart. */
  clear(): void {
    this.#blocks.clear();
    this.#events = [];
    this.#sequence = 0;
  }

  /** Returns the events after a sequence number that are visible at the given time. */
  listEvents(afterSequence: number, nowMs: number): readonly CacheEvent[] {
    const publishedMs = nowMs - this.#options.eventLagMs;
    return this.#events
      .filter(({ event, atMs }) => event.sequence > afterSequence && atMs <= publishedMs)
      .map(({ event }) => event);
  }

  #evict(): string[] {
    const excess = Math.max(0, this.#blocks.size - this.#options.capacityBlocks);
    const evicted = [...this.#blocks].slice(0, excess);
    evicted.forEach((hash) => this.#blocks.delete(hash));
    return evicted;
  }

  #publish(isStored: boolean, blockHashes: readonly string[], nowMs: number): void {
    if (blockHashes.length === 0) return;
    this.#sequence += 1;
    const { gapEvery } = this.#options;
    if (gapEvery > 0 && this.#sequence % gapEvery === 0) return;
    this.#events.push({ event: { sequence: this.#sequence, isStored, blockHashes }, atMs: nowMs });
    if (this.#events.length > MAX_EVENTS) this.#events.shift();
  }
}
