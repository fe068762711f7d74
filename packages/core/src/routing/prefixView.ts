/**
 * What an entry knows of the prefix caches of upstreams.
 *
 * Cache events come late and with gaps. What this entry sends is taken as held at once, since the
 * upstream computes it; that also mends what a lost event left out. A block whose removal was lost
 * is thought held until the upstream computes it again or the bounded index drops it.
 */
import type { MessageOf, MessageType } from '../messages/message.js';
import type { Metrics } from '../ports/metrics.js';

import { HOLDERS_MAX, PrefixIndex } from './prefixIndex.js';

interface Holder {
  readonly number: number;
  /** Undefined before the first event. */
  engineIncarnation: string | undefined;
  lastSequence: number;
}

/** Prefixes thought held, by upstream. */
export class PrefixView {
  readonly #index: PrefixIndex;

  readonly #metrics: Metrics;

  /** Holders by upstream, the one heard of longest ago first. */
  readonly #holders = new Map<string, Holder>();

  readonly #depths = new Uint16Array(HOLDERS_MAX);

  /** @param capacityBlocks blocks remembered over all upstreams together */
  constructor(capacityBlocks: number, metrics: Metrics) {
    this.#index = new PrefixIndex(capacityBlocks);
    this.#metrics = metrics;
  }

  /** Blocks remembered. */
  get size(): number {
    return this.#index.size;
  }

  /**
   * Measures how many leading blocks upstreams hold, for {@link readDepth}.
   *
   * @returns whether any upstream holds the first block
   */
  measure(hashes: readonly string[]): boolean {
    return this.#index.measure(hashes, this.#depths);
  }

  /** Leading blocks of the prompt measured last that an upstream is thought to hold. */
  readDepth(upstream: string): number {
    const holder = this.#holders.get(upstream);
    return holder ? (this.#depths[holder.number] ?? 0) : 0;
  }

  /** Notes that an upstream is about to compute a prompt. */
  noteSent(upstream: string, hashes: readonly string[]): void {
    if (hashes.length === 0) return;
    const { number } = this.#useHolder(upstream);
    hashes.forEach((hash) => this.#index.add(hash, number));
  }

  /** Takes in cache events; events of an older number than the last one are dropped. */
  readEvents(message: MessageOf<MessageType.CacheEvents>): void {
    const holder = this.#useHolder(message.upstream);
    this.#readIncarnation(holder, message.engineIncarnation);
    message.events.forEach(({ sequence, isStored, blockHashes }) => {
      if (sequence <= holder.lastSequence) return;
      const isGap = holder.lastSequence > 0 && sequence > holder.lastSequence + 1;
      if (isGap) this.#metrics.count('routing.cache-event-gap');
      holder.lastSequence = sequence;
      blockHashes.forEach((hash) => {
        if (isStored) this.#index.add(hash, holder.number);
        else this.#index.remove(hash, holder.number);
      });
    });
  }

  /** A new engine process holds nothing of the old one's cache. */
  #readIncarnation(holder: Holder, engineIncarnation: string): void {
    if (holder.engineIncarnation === engineIncarnation) return;
    if (holder.engineIncarnation !== undefined) this.#index.removeHolder(holder.number);
    Object.assign(holder, { engineIncarnation, lastSequence: 0 });
  }

  #useHolder(upstream: string): Holder {
    const known = this.#holders.get(upstream);
    if (known) this.#holders.delete(upstream);
    const holder = known ?? this.#createHolder();
    this.#holders.set(upstream, holder);
    return holder;
  }

  #createHolder(): Holder {
    const number = this.#holders.size < HOLDERS_MAX ? this.#holders.size : this.#dropOldestHolder();
    return { number, engineIncarnation: undefined, lastSequence: 0 };
  }

  #dropOldestHolder(): number {
    const [oldest] = this.#holders;
    if (!oldest) throw new Error('no holder to drop');
    const [upstream, { number }] = oldest;
    this.#holders.delete(upstream);
    this.#index.removeHolder(number);
    return number;
  }
}
