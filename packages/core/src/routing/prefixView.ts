/**
 * An entry's view of the prefix caches of upstreams.
 *
 * Cache events arrive late and with gaps. A prompt that this entry sends counts as cached at once,
 * since the upstream computes it; this also makes up for lost events. A block whose removal event
 * was lost counts as cached until the upstream computes it again or the bounded index evicts it.
 */
import type { MessageOf, MessageType } from '../messages/message.js';
import type { Metrics } from '../ports/metrics.js';

import { HOLDERS_MAX, PrefixIndex } from './prefixIndex.js';

interface Holder {
  readonly number: number;
  /** Undefined before the first cache event. */
  engineIncarnation: string | undefined;
  lastSequence: number;
}

/** Tracks which prompt prefixes each upstream has probably cached. */
export class PrefixView {
  readonly #index: PrefixIndex;

  readonly #metrics: Metrics;

  /** Holders by upstream, the least recently updated first. */
  readonly #holders = new Map<string, Holder>();

  readonly #depths = new Uint16Array(HOLDERS_MAX);

  /** @param capacityBlocks capacity of the index in blocks, over all upstreams */
  constructor(capacityBlocks: number, metrics: Metrics) {
    this.#index = new PrefixIndex(capacityBlocks);
    this.#metrics = metrics;
  }

  /** Number of blocks in the index. */
  get size(): number {
    return this.#index.size;
  }

  /**
   * Measures how many leading blocks of a prompt each upstream has cached, for {@link readDepth}.
   *
   * @returns whether any upstream has the first block
   */
  measureDepths(hashes: readonly string[]): boolean {
    return this.#index.measureDepths(hashes, this.#depths);
  }

  /** Number of leading blocks of the last measured prompt that an upstream has probably cached. */
  readDepth(upstream: string): number {
    const holder = this.#holders.get(upstream);
    return holder ? (this.#depths[holder.number] ?? 0) : 0;
  }

  /** Records that a prompt was sent to an upstream, which will compute and cache it. */
  recordSent(upstream: string, hashes: readonly string[]): void {
    if (hashes.length === 0) return;
    const { number } = this.#touchHolder(upstream);
    hashes.forEach((hash) => this.#index.add(hash, number));
  }

  /** Applies cache events; those with a sequence number not above the last one are ignored. */
  applyEvents(message: MessageOf<MessageType.CacheEvents>): void {
    const holder = this.#touchHolder(message.upstream);
    this.#resetIfRestarted(holder, message.engineIncarnation);
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

  /** Clears the holder if the engine was restarted, since its new process has an empty cache. */
  #resetIfRestarted(holder: Holder, engineIncarnation: string): void {
    if (holder.engineIncarnation === engineIncarnation) return;
    if (holder.engineIncarnation !== undefined) this.#index.removeHolder(holder.number);
    Object.assign(holder, { engineIncarnation, lastSequence: 0 });
  }

  #touchHolder(upstream: string): Holder {
    const known = this.#holders.get(upstream);
    if (known) this.#holders.delete(upstream);
    const holder = known ?? this.#createHolder();
    this.#holders.set(upstream, holder);
    return holder;
  }

  #createHolder(): Holder {
    const number =
      this.#holders.size < HOLDERS_MAX ? this.#holders.size : this.#evictOldestHolder();
    return { number, engineIncarnation: undefined, lastSequence: 0 };
  }

  #evictOldestHolder(): number {
    const [oldest] = this.#holders;
    if (!oldest) throw new Error('the prefix view has no holder to evict');
    const [upstream, { number }] = oldest;
    this.#holders.delete(upstream);
    this.#index.removeHolder(number);
    return number;
  }
}
