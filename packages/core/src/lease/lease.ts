/**
 * A lease with a fencing number, built on the platform's compare-and-set writes.
 *
 * Clocks of different processes are never compared. The holder measures from the start of its last
 * successful renewal. A contender measures from the moment at which it first read a version, and
 * takes over when that version has been unchanged for the lease time plus a margin. As a contender
 * sees a renewal only after it began, the holder's lease always expires first.
 *
 * The fencing number increases with each holder. It is read at the moment of use, so a holder that
 * was paused past its lease gets none; messages that it sent earlier are refused by receivers that
 * have seen a higher number.
 */
import { withCallTimeout } from '../config/callTimeout.js';
import type { PlatformPace } from '../config/platformPace.js';
import { containFault } from '../fault.js';
import type { Result } from '../outcome.js';
import { LogLevel, type Log } from '../ports/log.js';
import type { Metrics } from '../ports/metrics.js';
import { VERSION_ABSENT, type ObjectStore, type StoreError } from '../ports/objectStore.js';
import type { Random } from '../ports/random.js';
import { Deadline } from './deadline.js';
import { FREE_HOLDER, parseLeaseRecord, type LeaseRecord } from './leaseRecord.js';

const PART = 'lease';

/**
 * Interval between calls: as a share of the remaining time for the holder, and of the lease for
 * other processes. It is also the timeout of a call, as a share of the lease.
 */
const RENEW_SHARE = 1 / 3;

/** Shortest interval between two calls of the platform. */
const CALL_INTERVAL_MIN_MS = 200;

/** Share of the lease by which the holder stops early and contenders wait longer. */
const MARGIN_SHARE = 0.1;

/** Factor by which the interval is longer for a process that is not a candidate. */
const IDLE_INTERVAL_FACTOR = 10;

/** Largest share by which an interval is shortened at random. */
const JITTER_SHARE = 0.2;

export interface LeaseOptions {
  readonly store: ObjectStore;
  readonly pace: PlatformPace;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Key of the lease object. */
  readonly key: string;
  /** Name and incarnation of this process. */
  readonly holder: string;
  readonly leaseMs: number;
  /** Whether this process should acquire the lease when it is free. */
  readonly isCandidate: () => boolean;
}

/** The lease object as last read or written. */
interface LeaseState {
  readonly version: number;
  readonly record: LeaseRecord | undefined;
  /** When this version will have been unchanged for the lease time plus the margin. */
  readonly expiry: Deadline;
}

function isFree(state: LeaseState): boolean {
  if (!state.record || state.record.holder === FREE_HOLDER) return true;
  return state.expiry.isPast;
}

/** Acquires, renews and releases a lease on behalf of one process. */
export class Lease {
  readonly #options: LeaseOptions;

  #state: LeaseState | undefined;

  /** How long the lease may be held if the earliest write of unknown outcome took effect. */
  #unconfirmedUntil: Deadline | undefined;

  #held: { readonly fencingNumber: number; readonly until: Deadline } | undefined;

  #timer: NodeJS.Timeout | undefined;

  #isRunning = false;

  constructor(options: LeaseOptions) {
    this.#options = options;
  }

  /**
   * Fencing number for a message that is sent now.
   *
   * @returns undefined if this process does not hold the lease by its own clock
   */
  get fencingNumber(): number | undefined {
    if (!this.#held || this.#held.until.isPast) return undefined;
    return this.#held.fencingNumber;
  }

  start(): void {
    if (this.#isRunning) return;
    this.#isRunning = true;
    this.#schedule(0);
  }

  /** Stops renewing, and releases the lease if it is held. */
  async stop(): Promise<void> {
    this.#isRunning = false;
    clearTimeout(this.#timer);
    const { fencingNumber } = this;
    this.#held = undefined;
    if (fencingNumber === undefined || !this.#state) return;
    await this.#put({ holder: FREE_HOLDER, fencingNumber }, this.#state.version);
  }

  #schedule(delayMs: number): void {
    this.#timer = setTimeout(() => {
      containFault(this.#options, PART, () => this.#step()).then(() => {
        if (this.#isRunning) this.#schedule(this.#computeDelayMs());
      });
    }, delayMs);
  }

  #computeDelayMs(): number {
    const { leaseMs, random, pace, isCandidate } = this.#options;
    const isActive = this.#held !== undefined || isCandidate();
    const spanMs = this.#held ? this.#held.until.remainingMs : leaseMs;
    const intervalMs = spanMs * RENEW_SHARE * (isActive ? 1 : IDLE_INTERVAL_FACTOR * pace.factor);
    return Math.max(CALL_INTERVAL_MIN_MS, intervalMs) * (1 - random.next() * JITTER_SHARE);
  }

  async #step(): Promise<void> {
    const wasHeld = this.#held !== undefined;
    if (this.#held?.until.isPast) this.#held = undefined;
    if (this.#held && this.#state) await this.#renew(this.#held.fencingNumber, this.#state.version);
    else await this.#tryAcquire();
    if (wasHeld && !this.#held) this.#recordLoss();
  }

  async #renew(fencingNumber: number, version: number): Promise<void> {
    const record = { holder: this.#options.holder, fencingNumber };
    const held = await this.#writeAndConfirm(record, version);
    if (held === undefined) this.#held = undefined;
  }

  /**
   * Writes the record and determines whether the write took effect.
   *
   * @returns false if that is not known yet; undefined if another process holds the lease
   */
  async #writeAndConfirm(record: LeaseRecord, version: number): Promise<boolean | undefined> {
    const holdUntil = this.#startHoldDeadline();
    this.#unconfirmedUntil ??= holdUntil;
    const written = await this.#put(record, version);
    if (written.ok) {
      this.#hold(record, written.val, holdUntil);
      return true;
    }
    // This write or an earlier one may still have taken effect: only the earliest deadline is safe.
    const state = await this.#readLease();
    if (!state || state.version === version) return false;
    if (!this.#isOwn(state.record, record.fencingNumber)) {
      this.#unconfirmedUntil = undefined;
      return undefined;
    }
    this.#hold(record, state.version, this.#unconfirmedUntil);
    return true;
  }

  async #tryAcquire(): Promise<void> {
    const state = await this.#readLease();
    if (!state || !this.#options.isCandidate() || !isFree(state)) return;
    const fencingNumber = await this.#chooseFencingNumber(state);
    if (fencingNumber === undefined) return;
    const record = { holder: this.#options.holder, fencingNumber };
    if (await this.#writeAndConfirm(record, state.version)) this.#recordAcquisition(fencingNumber);
  }

  /**
   * Chooses the last number plus one. If the object is gone, the store's revision plus one is used,
   * which is larger than any number used before.
   */
  async #chooseFencingNumber(state: LeaseState): Promise<number | undefined> {
    if (state.record) return state.record.fencingNumber + 1;
    const listed = await this.#callWithTimeout(this.#options.store.list(this.#options.key));
    return listed.ok ? listed.val.revision + 1 : undefined;
  }

  #recordAcquisition(fencingNumber: number): void {
    const { key, log, metrics } = this.#options;
    metrics.count('lease.taken', { key });
    log.write(LogLevel.Info, PART, 'Lease acquired.', { key, fencingNumber });
  }

  #hold(record: LeaseRecord, version: number, until: Deadline): void {
    this.#state = { version, record, expiry: this.#startExpiry() };
    this.#held = { fencingNumber: record.fencingNumber, until };
    this.#unconfirmedUntil = undefined;
  }

  #recordLoss(): void {
    const { key, log, metrics } = this.#options;
    metrics.count('lease.lost', { key });
    log.write(LogLevel.Warn, PART, 'Lease lost.', { key });
  }

  #isOwn(record: LeaseRecord | undefined, fencingNumber: number): boolean {
    return record?.holder === this.#options.holder && record.fencingNumber === fencingNumber;
  }

  /** End of the hold that a write started now grants: the lease time minus the margin. */
  #startHoldDeadline(): Deadline {
    return Deadline.after(this.#options.leaseMs * (1 - MARGIN_SHARE));
  }

  /** When a version read now expires if it is unchanged: the lease time plus the margin. */
  #startExpiry(): Deadline {
    return Deadline.after(this.#options.leaseMs * (1 + MARGIN_SHARE));
  }

  /** Reads the lease object; if the version is unchanged, its expiry is not restarted. */
  async #readLease(): Promise<LeaseState | undefined> {
    const { store, key } = this.#options;
    const read = await this.#callWithTimeout(store.get(key));
    if (!read.ok) return undefined;
    const version = read.val?.version ?? VERSION_ABSENT;
    if (this.#state?.version === version) return this.#state;
    const record = parseLeaseRecord(read.val?.value);
    this.#state = { version, record, expiry: this.#startExpiry() };
    return this.#state;
  }

  #put(record: LeaseRecord, version: number): Promise<Result<number, StoreError>> {
    const { store, key } = this.#options;
    return this.#callWithTimeout(store.put(key, record, version));
  }

  async #callWithTimeout<T>(call: Promise<Result<T, StoreError>>): Promise<Result<T, StoreError>> {
    const { leaseMs, pace } = this.#options;
    const outcome = await withCallTimeout(call, leaseMs * RENEW_SHARE);
    pace.recordResult(outcome);
    return outcome;
  }
}
