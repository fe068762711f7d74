/**
 * Registers this entry in the platform and keeps its status up to date there.
 *
 * The status is written soon after a change, and at longer intervals as a keep-alive. The minimum
 * interval between writes grows with the number of entries, so that the fleet stays within the
 * write rate of the platform.
 */
import type { PlatformPace } from '../config/platformPace.js';
import { containFault } from '../fault.js';
import { Deadline } from '../lease/deadline.js';
import type { Timing } from '../model/timing.js';
import { LogLevel, type Log } from '../ports/log.js';
import type { Metrics } from '../ports/metrics.js';
import type { ObjectStore } from '../ports/objectStore.js';
import type { Random } from '../ports/random.js';
import type { EntryBoard } from '../state/entryBoard.js';
import type { ConfigLease } from './configLease.js';
import { createEntryStatus, ENTRY_STATUS_PREFIX } from './entryStatus.js';
import { OwnedObject } from './ownedObject.js';
import { ENTRY_REGISTRY_PREFIX, REGISTRATION_VALID_MS, type Registration } from './registry.js';

const PART = 'status';

/** Sustained status writes per second of all entries together. */
const FLEET_WRITES_PER_SECOND = 100;

/** Number of intervals after which an unchanged status is written again. */
const REFRESH_INTERVALS = 10;

/** Share of the status interval after which an entry checks its status for changes. */
const CHECK_INTERVAL_SHARE = 1 / 4;

/**
 * Least time between checks per known entry, so that one change does not make all entries write
 * at once.
 */
const SPREAD_PER_ENTRY_MS = 3;

/** Share by which the time between checks varies, so that entries do not write together. */
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
  /** Incarnation registered under this entry's name; undefined if there is none or not known. */
  readonly readIncarnation: () => string | undefined;
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
    const createObject = (prefix: string) =>
      new OwnedObject({ store, pace, key: prefix + board.name });
    this.#registration = createObject(ENTRY_REGISTRY_PREFIX);
    this.#status = createObject(ENTRY_STATUS_PREFIX);
  }

  start(): void {
    if (this.#isRunning) return;
    this.#isRunning = true;
    this.#schedule(0);
  }

  /** Stops writing; registration and status remain in the platform. */
  stop(): void {
    this.#isRunning = false;
    clearTimeout(this.#timer);
  }

  /**
   * Removes registration and status at the end of a planned stop, so that this entry no longer
   * counts towards a majority.
   */
  async unregister(): Promise<void> {
    this.stop();
    await this.#registration.remove();
    await this.#status.remove();
  }

  /** Minimum time in ms between two writes of the status. */
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
      containFault(this.#options, PART, () => this.#write()).then(() => {
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

  /** Registers again if the registration was removed, but not if another process replaced it. */
  #checkRegistration(): void {
    const { board, log, readIncarnation } = this.#options;
    const registered = readIncarnation();
    if (registered === board.incarnation) {
      this.#isListed = true;
      return;
    }
    if (!this.#isListed) return;
    this.#isListed = false;
    this.#isRegistered = registered !== undefined;
    if (registered === undefined) return;
    log.write(LogLevel.Error, PART, 'Another process registered under the name of this entry.', {
      registered,
    });
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
    log.write(LogLevel.Info, PART, 'Registered this entry in the platform.', { address });
  }

  async #writeStatus(): Promise<void> {
    const { board, timing, metrics } = this.#options;
    const status = createEntryStatus(board, timing, Date.now());
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
