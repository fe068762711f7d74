/**
 * Removes the objects of dead entries and old order records from the platform. A lease ensures
 * that one entry does so at a time.
 *
 * An entry counts as dead when neither its registration nor its status has changed for
 * {@link DEAD_AFTER_MS} by this process's own clock, and no link to it is open. That is longer than
 * an entry relies on its registration after it last saw it. Each removal is conditional on the
 * object's version, so the next write of a live entry wins.
 */
import { withCallTimeout } from '../config/callTimeout.js';
import type { PlatformPace } from '../config/platformPace.js';
import { containFault } from '../fault.js';
import { Deadline } from '../lease/deadline.js';
import { Lease } from '../lease/lease.js';
import type { Timing } from '../model/timing.js';
import { listOrderBuckets, parseOrderRecord } from '../orders/orderRecord.js';
import type { Result } from '../outcome.js';
import { LogLevel, type Log } from '../ports/log.js';
import type { Metrics } from '../ports/metrics.js';
import type { ObjectStore, StoredObject, StoreError } from '../ports/objectStore.js';
import type { Random } from '../ports/random.js';
import type { EntryBoard } from '../state/entryBoard.js';
import { ENTRY_STATUS_PREFIX } from './entryStatus.js';
import { ENTRY_REGISTRY_PREFIX, REGISTRATION_VALID_MS } from './registry.js';
import { rankMembers } from './rendezvous.js';

const PART = 'housekeeping';

const LEASE_KEY = 'lease/housekeeping';

/** Number of entries that compete for the housekeeping lease. */
const CANDIDATE_COUNT = 3;

/** Time without a change after which an entry counts as dead. */
const DEAD_AFTER_MS = 2 * REGISTRATION_VALID_MS;

const SWEEP_INTERVAL_MS = 10_000;

/** Age after which an order record is removed. */
const ORDER_RETENTION_MS = 48 * 3_600_000;

/** Time after which a call to the platform is given up. */
const CALL_TIMEOUT_MS = 4_000;

export interface HousekeeperOptions {
  readonly board: EntryBoard;
  readonly store: ObjectStore;
  readonly pace: PlatformPace;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly timing: Timing;
}

/** Versions of an entry's objects, and when the entry counts as dead if they do not change. */
interface EntryObservation {
  readonly versions: string;
  readonly deadAt: Deadline;
}

/** Runs a cleanup at an interval while this entry holds the housekeeping lease. */
export class Housekeeper {
  readonly #options: HousekeeperOptions;

  readonly #lease: Lease;

  readonly #observations = new Map<string, EntryObservation>();

  #timer: NodeJS.Timeout | undefined;

  #nextBucket = 0;

  constructor(options: HousekeeperOptions) {
    const { board, timing } = options;
    this.#options = options;
    this.#lease = new Lease({
      ...options,
      key: LEASE_KEY,
      holder: `${board.name}/${board.incarnation}`,
      leaseMs: timing.leaseMs,
      isCandidate: () => this.#isCandidate(),
    });
  }

  start(): void {
    this.#lease.start();
    this.#timer ??= setInterval(() => this.#sweep(), SWEEP_INTERVAL_MS);
  }

  /** Stops the cleanup and releases the lease. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    this.#timer = undefined;
    await this.#lease.stop();
  }

  #isCandidate(): boolean {
    const { board } = this.#options;
    const names = [board.name, ...board.peers.keys()];
    return !board.isStopping && rankMembers(LEASE_KEY, names).indexOf(board.name) < CANDIDATE_COUNT;
  }

  #sweep(): void {
    if (this.#lease.fencingNumber === undefined) {
      this.#observations.clear();
      return;
    }
    containFault(this.#options, PART, () => this.#sweepEntries());
    containFault(this.#options, PART, () => this.#sweepOrders());
  }

  async #sweepEntries(): Promise<void> {
    const { store } = this.#options;
    const registered = await this.#callStore(store.list(ENTRY_REGISTRY_PREFIX));
    const statuses = await this.#callStore(store.list(ENTRY_STATUS_PREFIX));
    if (!registered.ok || !statuses.ok) return;
    const objects = new Map<string, StoredObject[]>();
    statuses.val.objects.forEach((object) => {
      objects.set(object.key.slice(ENTRY_STATUS_PREFIX.length), [object]);
    });
    registered.val.objects.forEach((object) => {
      const name = object.key.slice(ENTRY_REGISTRY_PREFIX.length);
      objects.set(name, [...(objects.get(name) ?? []), object]);
    });
    objects.forEach((entryObjects, name) => this.#removeIfDead(name, entryObjects));
  }

  #removeIfDead(name: string, objects: readonly StoredObject[]): void {
    const { board } = this.#options;
    const versions = objects.map(({ version }) => version).join(' ');
    const observation = this.#observations.get(name);
    const isLinked = name === board.name || board.peers.get(name)?.link !== undefined;
    if (isLinked || observation?.versions !== versions) {
      this.#observations.set(name, { versions, deadAt: Deadline.after(DEAD_AFTER_MS) });
      return;
    }
    if (!observation.deadAt.isPast) return;
    this.#observations.delete(name);
    objects.forEach((object) => this.#remove(object, 'housekeeping.entry.removed'));
    this.#options.log.write(LogLevel.Warn, PART, 'Removing the objects of a dead entry.', {
      entry: name,
    });
  }

  /** Removes old order records, one bucket per sweep. */
  async #sweepOrders(): Promise<void> {
    const buckets = listOrderBuckets();
    const prefix = buckets[this.#nextBucket % buckets.length];
    this.#nextBucket += 1;
    if (prefix === undefined) return;
    const listed = await this.#callStore(this.#options.store.list(prefix));
    if (!listed.ok) return;
    const oldestMs = Date.now() - ORDER_RETENTION_MS;
    listed.val.objects
      .filter(({ value }) => (parseOrderRecord(value)?.atMs ?? 0) < oldestMs)
      .forEach((object) => this.#remove(object, 'housekeeping.order.removed'));
  }

  /** Removes an object if its version is unchanged and this entry still holds the lease. */
  #remove(object: StoredObject, counter: string): void {
    if (this.#lease.fencingNumber === undefined) return;
    this.#callStore(this.#options.store.remove(object.key, object.version)).then((removed) => {
      if (removed.ok) this.#options.metrics.count(counter);
    });
  }

  async #callStore<T>(call: Promise<Result<T, StoreError>>): Promise<Result<T, StoreError>> {
    const outcome = await withCallTimeout(call, CALL_TIMEOUT_MS);
    this.#options.pace.recordResult(outcome);
    return outcome;
  }
}
