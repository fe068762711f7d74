/** An upstream in memory: a continuous batch, a prefix cache, and a side process's gate. */
import { MessageType, type MessageOf } from '@radishbay/core/messages/message.js';
import { Warmth, type SideReport } from '@radishbay/core/model/report.js';
import { PREFIX_BLOCK_CHARS } from '@radishbay/core/model/prefixHash.js';
import { SmoothedTime } from '@radishbay/core/side/smoothedTime.js';

import { Batch, type BatchCosts } from '../../engine/batch.js';
import { PrefixCache, type PrefixCacheOptions } from '../../engine/prefixCache.js';

const TIME_WEIGHT = 0.2;

const CHARS_PER_TOKEN = 4;

/** Prompt tokens of one block. */
const BLOCK_TOKENS = PREFIX_BLOCK_CHARS / CHARS_PER_TOKEN;

export interface ModelUpstreamOptions {
  readonly name: string;
  readonly domain: string;
  readonly limit: number;
  readonly slowdown: number;
  readonly costs: BatchCosts;
  readonly cache: PrefixCacheOptions;
}

/** What one attempt asks for. */
export interface ModelWork {
  readonly prefixHashes: readonly string[];
  readonly tokens: number;
}

/** What an attempt tells. */
export interface WorkEvents {
  readonly onToken: (index: number) => void;
  readonly onEnd: () => void;
}

/** One upstream. */
export class ModelUpstream {
  readonly name: string;

  readonly domain: string;

  readonly #options: ModelUpstreamOptions;

  readonly #batch: Batch;

  readonly #cache: PrefixCache;

  readonly #firstTokenTime = new SmoothedTime(TIME_WEIGHT);

  readonly #serviceTime = new SmoothedTime(TIME_WEIGHT);

  readonly #stepTime = new SmoothedTime(TIME_WEIGHT);

  #inFlight = 0;

  #lastSequence = 0;

  blocksAsked = 0;

  blocksHeld = 0;

  refusals = 0;

  constructor(options: ModelUpstreamOptions) {
    this.#options = options;
    this.name = options.name;
    this.domain = options.domain;
    this.#batch = new Batch(options.costs, () => {});
    this.#batch.slowdown = options.slowdown;
    this.#cache = new PrefixCache(options.cache);
  }

  /** @returns a function that cancels the attempt; undefined where the gate refuses */
  submit(work: ModelWork, events: WorkEvents): (() => void) | undefined {
    if (this.#inFlight >= this.#options.limit) {
      this.refusals += 1;
      return undefined;
    }
    this.#inFlight += 1;
    const held = this.#cache.use(work.prefixHashes, Date.now());
    this.blocksAsked += work.prefixHashes.length;
    this.blocksHeld += held;
    return this.#run(work, (work.prefixHashes.length - held) * BLOCK_TOKENS, events);
  }

  report(): MessageOf<MessageType.Report> {
    const report: SideReport = {
      upstream: this.name,
      engineIncarnation: 'e1',
      inFlight: this.#inFlight,
      limit: this.#options.limit,
      warmth: Warmth.Warm,
      isLeaving: false,
      isDrained: false,
      kvUsedShare: 0,
      queued: this.#batch.waitingCount,
      tokensPerSecond: 0,
      firstTokenMs: this.#firstTokenTime.meanMs,
      serviceMs: this.#serviceTime.meanMs,
      stepMs: this.#stepTime.meanMs,
      models: [],
    };
    return { type: MessageType.Report, report: { ...report, models: [] } };
  }

  /** Cache events published since they were last read. */
  readCacheEvents(): MessageOf<MessageType.CacheEvents> {
    const events = this.#cache.listEvents(this.#lastSequence, Date.now());
    this.#lastSequence = events[events.length - 1]?.sequence ?? this.#lastSequence;
    return {
      type: MessageType.CacheEvents,
      upstream: this.name,
      engineIncarnation: 'e1',
      events: events.map((event) => ({ ...event, blockHashes: [...event.blockHashes] })),
    };
  }

  #run(work: ModelWork, prefillTokens: number, events: WorkEvents): () => void {
    const enteredAtMs = Date.now();
    let lastAtMs = enteredAtMs;
    const onToken = (index: number) => {
      const nowMs = Date.now();
      if (index === 0) this.#firstTokenTime.add(nowMs - enteredAtMs);
      else this.#stepTime.add(nowMs - lastAtMs);
      lastAtMs = nowMs;
      events.onToken(index);
      return true;
    };
    const onEnd = () => {
      this.#inFlight -= 1;
      this.#serviceTime.add(Date.now() - enteredAtMs);
      events.onEnd();
    };
    const spec = { priority: 0, prefillTokens, firstToken: 0, maxTokens: work.tokens };
    const sequence = this.#batch.submit(spec, { onToken, onEnd, onFailure: () => {} });
    return () => {
      if (sequence.isFinished) return;
      this.#batch.cancel(sequence);
      this.#inFlight -= 1;
    };
  }
}
