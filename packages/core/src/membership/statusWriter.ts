/**
 * Registers this entry in the platform and keeps its status there.
 *
 * The status is written soon after it has changed, and now and then as a sign of life. Between two
 * writes of an entry lies an interval that grows with the number of entries, so that the platform's
 * rate of writes holds for the fleet.
 */
import type { PlatformPace } from '../config/platformPace.js';
import { Deadline } from '../lease/deadline.js';
import type { Timing } from '../model/timing.js';
import { LogLevel, type Log } from '../ports/log.js';
import type { Metrics } from '../ports/metrics.js';
import type { ObjectStore } from '../ports/objectStore.js';
import type { Random } from '../ports/random.js';
import type { EntryBoard } from '../state/entryBoard.js';
import type { ConfigLease } from './configLease.js';
import { describeEntry, ENTRY_STATUS_PREFIX } from './entryStatus.js';
import { OwnedObject } from './ownedObject.js';
import { ENTRY_REGISTRY_PREFIX, REGISTRATION_VALID_MS, type Registration } from './registry.js';

const PART = 'status';

/** Status writes a second that all entries together may make for long. */
const FLEET_WRITES_PER_SECOND = 100;

/** Intervals after which an unchanged status is written all the same. */
const REFRESH_INTERVALS = 10;

/** Share of the interval after which an entry looks whether its status has changed. */
const CHECK_INTERVAL_SHARE = 1 / 4;

/** The same time by entry, so that one change does not make all entries write at once. */
const SPREAD_PER_ENTRY_MS = 3;

/** Part of an interval by which it varies, so that entries do not write together. */
const JITTER_SHARE = 0.2;

export interface StatusWriterOptions {
  readonly board: EntryBoard;
  readonly lease: ConfigLease;
  readonly store: ObjectStore;
  readonly pace: PlatformPace;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly timing: Timing;
  /** Address at which other entries reach this one. */
  readonly address: string;
  /** Incarnation registered under this entry's name; undefined where there is none or not known. */
  readonly readRegisteredIncarnation: () => string | undefined;
}

/** Writes `registry/entry/NAME` and `status/entry/NAME`. */
export class StatusWriter {
  readonly #options: StatusWriterOptions;

  readonly #registration: OwnedObject;

  readonly #status: OwnedObject;

  #timer: NodeJS.Timeout | undefined;

  #isRunning = false;

  #isRegistered = false;

  /** Whether the registry has shown this incarnation since it was registered. */
  #isListed = false;

  #lastStatusJson = '';

  #lastWriteAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: StatusWriterOptions) {
    const { store, pace, board } = options;
    this.#options = options;
    const own = (prefix: string) => new OwnedObject({ store, pace, key: prefix + board.name });
    this.#registration = own(ENTRY_REGISTRY_PREFIX);
    this.#status = own(ENTRY_STATUS_PREFIX);
  }

  start(): void {
    if (this.#isRunning) return;
    this.#isRunning = true;
    this.#schedule(0);
  }

  /** Stops writing; what stands in the platform stays. */
  stop(): void {
    this.#isRunning = false;
    clearTimeout(this.#timer);
  }

  /**
   * Takes this entry out of the registry at the end of a planned stop, so that no majority counts
   * on it any more.
   */
  async unregister(): Promise<void> {
    this.stop();
    await this.#registration.remove();
    await this.#status.remove();
  }

  /** Least time between two writes, by the number of entries and the platform's pace. */
  get intervalMs(): number {
    const { pace, timing } = this.#options;
    const shareMs = (this.#entryCount * 1_000) / FLEET_WRITES_PER_SECOND;
    return Math.max(timing.statusMs, shareMs) * pace.factor;
  }

  get #entryCount(): number {
    return this.#options.board.peers.size + 1;
  }

  #schedule(delayMs: number): void {
    this.#timer = setTimeout(() => {
      this.#write().then(() => {
        if (this.#isRunning) this.#schedule(this.#chooseDelay());
      });
    }, delayMs);
  }

  #chooseDelay(): number {
    const jitter = 1 + (this.#options.random.next() - 0.5) * 2 * JITTER_SHARE;
    const spreadMs = this.#entryCount * SPREAD_PER_ENTRY_MS;
    const tickMs = Math.max(this.#options.timing.statusMs * CHECK_INTERVAL_SHARE, spreadMs);
    return tickMs * this.#options.pace.factor * jitter;
  }

  async #write(): Promise<void> {
    this.#checkRegistration();
    if (!this.#isRegistered) await this.#register();
    if (this.#isRegistered && this.#isRunning) await this.#writeStatus();
  }

  /** Registers anew where the registration was removed, but not against another process. */
  #checkRegistration(): void {
    const { board, log, readRegisteredIncarnation: readRegistered } = this.#options;
    const registered = readRegistered();
    if (registered === board.incarnation) {
      this.#isListed = true;
      return;
    }
    if (!this.#isListed) return;
    this.#isListed = false;
    this.#isRegistered = registered !== undefined;
    if (registered === undefined) return;
    log.write(LogLevel.Error, PART, 'Another process registered under this name.', { registered });
  }

  async #register(): Promise<void> {
    const { board, lease, log, metrics, address } = this.#options;
    const { incarnation, domain } = board;
    const registration: Registration = { address, incarnation, domain };
    const until = Deadline.after(REGISTRATION_VALID_MS);
    const written = await this.#registration.write(registration);
    if (!written.ok) {
      metrics.count('status.register.failed', { kind: written.val.kind });
      return;
    }
    this.#isRegistered = true;
    lease.confirmRegistration(until);
    log.write(LogLevel.Info, PART, 'Registered this entry.', { address });
  }

  async #writeStatus(): Promise<void> {
    const { board, timing, metrics } = this.#options;
    const status = describeEntry(board, timing, Date.now());
    const text = JSON.stringify(status);
    const sinceMs = Date.now() - this.#lastWriteAtMs;
    const dueMs = this.intervalMs * (text === this.#lastStatusJson ? REFRESH_INTERVALS : 1);
    if (sinceMs < dueMs) return;
    this.#lastWriteAtMs = Date.now();
    const written = await this.#status.write(status);
    this.#lastStatusJson = written.ok ? text : '';
    if (!written.ok) metrics.count('status.write.failed', { kind: written.val.kind });
  }
}
