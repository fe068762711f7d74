/** The engine's cache of prompt prefixes: blocks in limited memory, the least recently used go. */
import type { CacheEvent } from '@radishbay/core/model/report.js';

/** Events kept for readers that come late. */
const EVENTS_KEPT = 10_000;

interface DatedEvent {
  readonly event: CacheEvent;
  readonly atMs: number;
}

export interface PrefixCacheOptions {
  /** Blocks that the cache holds. */
  readonly capacityBlocks: number;
  /** Time by which events are published late. */
  readonly eventLagMs: number;
  /** Each event with a number divisible by this is never published; 0 publishes all. */
  readonly gapEvery: number;
}

/** Prompt prefixes held by an engine. */
export class PrefixCache {
  readonly #options: PrefixCacheOptions;

  /** In order of use; the first one goes first. */
  readonly #blocks = new Set<string>();

  #events: DatedEvent[] = [];

  #sequence = 0;

  constructor(options: PrefixCacheOptions) {
    this.#options = options;
  }

  get sizeBlocks(): number {
    return this.#blocks.size;
  }

  /**
   * Notes the use of a prompt.
   *
   * @param hashes hashes of the prompt's leading blocks, each covering all before it
   * @returns number of leading blocks that were held
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

  /** Forgets all blocks and events, as a restart does. */
  clear(): void {
    this.#blocks.clear();
    this.#events = [];
    this.#sequence = 0;
  }

  /** Events after a sequence number that have been published by now. */
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
    if (this.#events.length > EVENTS_KEPT) this.#events.shift();
  }
}
