/**
 * Reads the engine's load reports and cache events at an interval.
 *
 * A reading may hang for good: it is given up after a while, and its late result is dropped.
 */
import { MessageType, type Message } from '../messages/message.js';

import type { Gate } from './gate.js';
import { readClockMs } from './sideClock.js';
import type { SideOptions } from './sideOptions.js';

/** Sends a message to all entries. */
export type Broadcast = (message: Message) => void;

/** Keeps the gate informed of the engine. */
export class EngineReportReader {
  readonly #options: SideOptions;

  readonly #gate: Gate;

  readonly #broadcast: Broadcast;

  #timer: NodeJS.Timeout | undefined;

  /** Time at which the reading under way began. */
  #readingSinceMs: number | undefined;

  #cacheSequence = 0;

  #engineIncarnation = '';

  constructor(options: SideOptions, gate: Gate, broadcast: Broadcast) {
    this.#options = options;
    this.#gate = gate;
    this.#broadcast = broadcast;
  }

  start(): void {
    if (this.#options.isPlain || this.#timer) return;
    this.#timer = setInterval(() => this.#step(), this.#options.timing.engineReportMs);
    this.#step();
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
    this.#readingSinceMs = undefined;
  }

  #step(): void {
    const nowMs = readClockMs();
    const sinceMs = this.#readingSinceMs;
    const isHung =
      sinceMs !== undefined && nowMs - sinceMs > this.#options.timing.engineReportLimitMs;
    if (isHung) this.#options.metrics.count('side.report_hung');
    if (sinceMs === undefined || isHung) this.#read(nowMs);
  }

  async #read(startedAtMs: number): Promise<void> {
    this.#readingSinceMs = startedAtMs;
    const report = await this.#options.engine.readReport();
    if (this.#readingSinceMs !== startedAtMs) return;
    if (report.ok) {
      this.#gate.readReport(report.val, startedAtMs);
      await this.#readCacheEvents(report.val.engineIncarnation, startedAtMs);
    } else {
      this.#options.metrics.count('side.report_failed');
      this.#gate.readReportFault();
    }
    if (this.#readingSinceMs === startedAtMs) this.#readingSinceMs = undefined;
  }

  async #readCacheEvents(engineIncarnation: string, startedAtMs: number): Promise<void> {
    if (engineIncarnation !== this.#engineIncarnation) this.#cacheSequence = 0;
    this.#engineIncarnation = engineIncarnation;
    const events = await this.#options.engine.readCacheEvents(this.#cacheSequence);
    if (this.#readingSinceMs !== startedAtMs || !events.ok || events.val.length === 0) return;
    this.#cacheSequence = Math.max(...events.val.map((event) => event.sequence));
    this.#broadcast({
      type: MessageType.CacheEvents,
      upstream: this.#options.board.upstream,
      engineIncarnation,
      events: events.val.map((event) => ({ ...event, blockHashes: [...event.blockHashes] })),
    });
  }
}
