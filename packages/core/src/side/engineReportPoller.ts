/**
 * Polls the engine's load report and cache events at an interval.
 *
 * A read may hang forever: it is abandoned after `engineReportLimitMs`, and a late result is
 * dropped.
 */
import { containFault } from '../fault.js';
import { MessageType, type Message } from '../messages/message.js';

import type { ConcurrencyLimiter } from './concurrencyLimiter.js';
import { readClockMs } from './sideClock.js';
import type { SideOptions } from './sideOptions.js';

const LOG_PART = 'side';

/** Sends a message to all entries. */
export type Broadcast = (message: Message) => void;

/** Passes load reports to the concurrency limiter and cache events to the entries. */
export class EngineReportPoller {
  readonly #options: SideOptions;

  readonly #limiter: ConcurrencyLimiter;

  readonly #broadcast: Broadcast;

  #timer: NodeJS.Timeout | undefined;

  /** Time at which the current read started; undefined if none is in progress. */
  #readStartedAtMs: number | undefined;

  #cacheSequence = 0;

  #engineIncarnation = '';

  constructor(options: SideOptions, limiter: ConcurrencyLimiter, broadcast: Broadcast) {
    this.#options = options;
    this.#limiter = limiter;
    this.#broadcast = broadcast;
  }

  start(): void {
    if (this.#options.isPlain || this.#timer) return;
    this.#timer = setInterval(() => this.#poll(), this.#options.timing.engineReportMs);
    this.#poll();
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
    this.#readStartedAtMs = undefined;
  }

  #poll(): void {
    const nowMs = readClockMs();
    const sinceMs = this.#readStartedAtMs;
    const isHung =
      sinceMs !== undefined && nowMs - sinceMs > this.#options.timing.engineReportLimitMs;
    if (isHung) this.#options.metrics.count('side.report_hung');
    if (sinceMs === undefined || isHung) this.#readContained(nowMs);
  }

  async #readContained(startedAtMs: number): Promise<void> {
    const read = await containFault(this.#options, LOG_PART, () => this.#readReport(startedAtMs));
    if (this.#readStartedAtMs !== startedAtMs) return;
    this.#readStartedAtMs = undefined;
    if (read.err) this.#limiter.recordReportFailure();
  }

  async #readReport(startedAtMs: number): Promise<void> {
    this.#readStartedAtMs = startedAtMs;
    const report = await this.#options.engine.readReport();
    if (this.#readStartedAtMs !== startedAtMs) return;
    if (report.ok) {
      this.#limiter.applyReport(report.val, startedAtMs);
      await this.#readCacheEvents(report.val.engineIncarnation, startedAtMs);
    } else {
      this.#options.metrics.count('side.report_failed');
      this.#limiter.recordReportFailure();
    }
  }

  async #readCacheEvents(engineIncarnation: string, startedAtMs: number): Promise<void> {
    if (engineIncarnation !== this.#engineIncarnation) this.#cacheSequence = 0;
    this.#engineIncarnation = engineIncarnation;
    const events = await this.#options.engine.readCacheEvents(this.#cacheSequence);
    if (this.#readStartedAtMs !== startedAtMs || !events.ok || events.val.length === 0) return;
    this.#cacheSequence = Math.max(...events.val.map((event) => event.sequence));
    this.#broadcast({
      type: MessageType.CacheEvents,
      upstream: this.#options.board.upstream,
      engineIncarnation,
      events: events.val.map((event) => ({ ...event, blockHashes: [...event.blockHashes] })),
    });
  }
}
