/**
 * Removes what dead entries and old orders have left in the platform; one entry does it at a time.
 *
 * An entry counts as dead when neither its registration nor its status has changed for long by this
 * process's own clock, and no link to it is open. That time is longer than an entry counts on its
 * registration, and each removal is conditional, so a living entry's next write wins.
 */
import { boundCall } from '../config/boundedCall.js';
import type { PlatformPace } from '../config/platformPace.js';
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

/** Entries that stand by to do the housekeeping. */
const CANDIDATES = 3;

/** Time without a change after which an entry counts as dead. */
const DEAD_AFTER_MS = 2 * REGISTRATION_VALID_MS;

const SWEEP_MS = 10_000;

/** Age at which the record of an order is removed. */
const ORDER_KEPT_MS = 48 * 3_600_000;

/** Time after which a call counts as lost. */
const CALL_LIMIT_MS = 4_000;

export interface HousekeeperOptions {
  readonly board: EntryBoard;
  readonly store: ObjectStore;
  readonly pace: PlatformPace;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly timing: Timing;
}

/** An entry's objects as they were first seen in their present versions. */
interface Sighting {
  readonly versions: string;
  readonly deadAt: Deadline;
}

/** Sweeps at an interval while it holds the lease. */
export class Housekeeper {
  readonly #options: HousekeeperOptions;

  readonly #lease: Lease;

  readonly #sightings = new Map<string, Sighting>();

  #timer: NodeJS.Timeout | undefined;

  #bucket = 0;

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
    this.#timer ??= setInterval(() => this.#sweep(), SWEEP_MS);
  }

  /** Stops, and gives the lease back. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    this.#timer = undefined;
    await this.#lease.stop();
  }

  #isCandidate(): boolean {
    const { board } = this.#options;
    const names = [board.name, ...board.peers.keys()];
    return !board.isStopping && rankMembers(LEASE_KEY, names).indexOf(board.name) < CANDIDATES;
  }

  #sweep(): void {
    if (this.#lease.fencingNumber === undefined) {
      this.#sightings.clear();
      return;
    }
    this.#sweepEntries();
    this.#sweepOrders();
  }

  async #sweepEntries(): Promise<void> {
    const { store } = this.#options;
    const registered = await this.#call(store.list(ENTRY_REGISTRY_PREFIX));
    const statuses = await this.#call(store.list(ENTRY_STATUS_PREFIX));
    if (!registered.ok || !statuses.ok) return;
    const objects = new Map<string, StoredObject[]>();
    statuses.val.objects.forEach((object) => {
      objects.set(object.key.slice(ENTRY_STATUS_PREFIX.length), [object]);
    });
    registered.val.objects.forEach((object) => {
      const name = object.key.slice(ENTRY_REGISTRY_PREFIX.length);
      objects.set(name, [...(objects.get(name) ?? []), object]);
    });
    objects.forEach((own, name) => this.#judge(name, own));
  }

  #judge(name: string, objects: readonly StoredObject[]): void {
    const { board } = this.#options;
    const versions = objects.map(({ version }) => version).join(' ');
    const sighting = this.#sightings.get(name);
    const isLinked = name === board.name || board.peers.get(name)?.link !== undefined;
    if (isLinked || sighting?.versions !== versions) {
      this.#sightings.set(name, { versions, deadAt: Deadline.after(DEAD_AFTER_MS) });
      return;
    }
    if (!sighting.deadAt.isPast) return;
    this.#sightings.delete(name);
    objects.forEach((object) => this.#remove(object, 'housekeeping.entry.removed'));
    this.#options.log.write(LogLevel.Warn, PART, 'Removed a dead entry.', { entry: name });
  }

  /** Removes old orders, one bucket a sweep. */
  async #sweepOrders(): Promise<void> {
    const buckets = listOrderBuckets();
    const prefix = buckets[this.#bucket % buckets.length];
    this.#bucket += 1;
    if (prefix === undefined) return;
    const listed = await this.#call(this.#options.store.list(prefix));
    if (!listed.ok) return;
    const oldestMs = Date.now() - ORDER_KEPT_MS;
    listed.val.objects
      .filter(({ value }) => (parseOrderRecord(value)?.atMs ?? 0) < oldestMs)
      .forEach((object) => this.#remove(object, 'housekeeping.order.removed'));
  }

  /** Removes an object if it is still as it was seen, and if the lease is still held. */
  #remove(object: StoredObject, counter: string): void {
    if (this.#lease.fencingNumber === undefined) return;
    this.#call(this.#options.store.remove(object.key, object.version)).then((removed) => {
      if (removed.ok) this.#options.metrics.count(counter);
    });
  }

  async #call<T>(call: Promise<Result<T, StoreError>>): Promise<Result<T, StoreError>> {
    const outcome = await boundCall(call, CALL_LIMIT_MS);
    this.#options.pace.note(outcome);
    return outcome;
  }
}
