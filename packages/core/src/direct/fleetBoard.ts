/** Blackboard of an entry that calls upstreams itself: followers write it, requests read it. */
import { DirectUpstream, type UpstreamEntry } from './directUpstream.js';
import type { FleetBounds } from './fleetBounds.js';
import { PoolActivity } from './poolActivity.js';
import { BreakerChangeSource, PoolBreaker } from './poolBreaker.js';
import type { RouteTable } from './routeTable.js';

/** Entries that are assumed before the registry has told how many there are. */
const ASSUMED_ENTRY_COUNT = 4;

/** Time after the start in which other entries are only about to be heard. */
const STARTUP_MS = 3_000;

/** Lives of upstreams that are known to leave and are remembered. */
const LEAVING_INCARNATIONS_MAX = 4_096;

/** Who told that an upstream leaves. */
export enum LeavingNews {
  /** The upstream itself, with an answer. */
  Upstream = 'upstream',
  Registry = 'registry',
  Peer = 'peer',
}

/** Names one life of an upstream: a restarted one may have the same id. */
export function nameLife({ id, startedAtUnixMs }: UpstreamEntry): string {
  return `${id}@${startedAtUnixMs}`;
}

/** Facts shared by the controllers of one entry. */
export class FleetBoard {
  readonly name: string;

  readonly domain: string;

  /** Bounds in force; replaced as a whole when the settings change. */
  bounds: FleetBounds;

  readonly #startedAtMs = performance.now();

  #table: RouteTable | undefined;

  readonly #upstreams = new Map<string, DirectUpstream>();

  readonly #byPool = new Map<string, DirectUpstream[]>();

  readonly #activities = new Map<string, PoolActivity>();

  readonly #breakers = new Map<string, PoolBreaker>();

  #closedDomains: ReadonlySet<string> = new Set();

  /** Entries that share the upstreams, this one included. */
  entryCount = ASSUMED_ENTRY_COUNT;

  /** Whether the registry has been read at least once. */
  hasUpstreams = false;

  isStopping = false;

  /** Other entries whose counts are fresh. */
  heardPeers: ReadonlySet<string> = new Set();

  /** Those of them that are in a planned stop. */
  stoppingPeers: ReadonlySet<string> = new Set();

  /** Paces of upstreams that this entry has read itself, by id; others are told of them. */
  knownPaces: ReadonlyMap<string, number> = new Map();

  /** Lives that have begun to leave: none of them comes back, whatever an old message says. */
  readonly #leavingIncarnations = new Set<string>();

  /** Those of them that have told this entry so themselves. */
  readonly #selfReportedLeaving = new Set<string>();

  readonly #leavingListeners: ((upstream: DirectUpstream, source: LeavingNews) => void)[] = [];

  #onRecovery: ((pool: string) => void) | undefined;

  #onInFlightChange: ((upstream: DirectUpstream) => void) | undefined;

  constructor(name: string, domain: string, bounds: FleetBounds) {
    this.name = name;
    this.domain = domain;
    this.bounds = bounds;
  }

  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** @returns false where the table in force is as new or newer */
  replaceTable(table: RouteTable): boolean {
    if (this.#table && this.#table.version >= table.version) return false;
    this.#table = table;
    return true;
  }

  get upstreams(): readonly DirectUpstream[] {
    return [...this.#upstreams.values()];
  }

  findUpstream(id: string): DirectUpstream | undefined {
    return this.#upstreams.get(id);
  }

  listPool(pool: string): readonly DirectUpstream[] {
    return this.#byPool.get(pool) ?? [];
  }

  /** Takes in an entry of the registry; a restarted upstream begins anew. */
  putUpstream(entry: UpstreamEntry): void {
    const known = this.#upstreams.get(entry.id);
    const isSame = known?.entry.startedAtUnixMs === entry.startedAtUnixMs;
    if (known && isSame) known.update(entry);
    else this.#upstreams.set(entry.id, new DirectUpstream(entry));
    const upstream = this.#upstreams.get(entry.id);
    if (upstream && this.#leavingIncarnations.has(nameLife(entry))) upstream.noteLeaving();
    this.#indexPools();
  }

  /** Lives that have told this entry that they are about to end, among those that there are. */
  get selfReportedLeaving(): readonly string[] {
    if (this.#selfReportedLeaving.size === 0) return [];
    const incarnations = this.upstreams.map(({ entry }) => nameLife(entry));
    return incarnations.filter((incarnation) => this.#selfReportedLeaving.has(incarnation));
  }

  isLeavingIncarnation(incarnation: string): boolean {
    return this.#leavingIncarnations.has(incarnation);
  }

  /** Notes that an upstream is about to end: it gets nothing more in this life. */
  noteLeaving(upstream: DirectUpstream, source: LeavingNews): void {
    this.noteLeavingLife(nameLife(upstream.entry), source);
    upstream.noteLeaving();
  }

  /** The same by the name of its life, which may not be in the registry yet. */
  noteLeavingLife(incarnation: string, source: LeavingNews): void {
    if (this.#leavingIncarnations.has(incarnation)) return;
    this.#leavingIncarnations.add(incarnation);
    if (source === LeavingNews.Upstream) this.#selfReportedLeaving.add(incarnation);
    this.#evictOldestIncarnation();
    const upstream = this.upstreams.find(({ entry }) => nameLife(entry) === incarnation);
    if (!upstream) return;
    upstream.noteLeaving();
    this.#leavingListeners.forEach((listener) => listener(upstream, source));
  }

  #evictOldestIncarnation(): void {
    const [oldest] = this.#leavingIncarnations;
    if (oldest === undefined || this.#leavingIncarnations.size <= LEAVING_INCARNATIONS_MAX) return;
    this.#leavingIncarnations.delete(oldest);
    this.#selfReportedLeaving.delete(oldest);
  }

  /** Names one more listener for upstreams that begin to leave. */
  onLeaving(listener: (upstream: DirectUpstream, source: LeavingNews) => void): void {
    this.#leavingListeners.push(listener);
  }

  removeUpstream(id: string): void {
    if (this.#upstreams.delete(id)) this.#indexPools();
  }

  isClosed(domain: string): boolean {
    return this.#closedDomains.has(domain);
  }

  /** Names the failure domains that are to get no new work. */
  closeDomains(domains: ReadonlySet<string>): void {
    this.#closedDomains = domains;
  }

  /** What this entry sees of a pool. */
  readActivity(pool: string): PoolActivity {
    const known = this.#activities.get(pool);
    if (known) return known;
    const activity = new PoolActivity();
    this.#activities.set(pool, activity);
    return activity;
  }

  /** Whether a pool takes work, as far as this entry knows. */
  readBreaker(pool: string): PoolBreaker {
    const known = this.#breakers.get(pool);
    if (known) return known;
    const breaker = new PoolBreaker();
    breaker.onChange((source) => {
      if (!breaker.isOpen && source === BreakerChangeSource.Own) this.#onRecovery?.(pool);
    });
    this.#breakers.set(pool, breaker);
    return breaker;
  }

  /** Names the listener for pools that this entry finds to take work again. */
  onRecovery(listener: (pool: string) => void): void {
    this.#onRecovery = listener;
  }

  /** Requests in flight at an upstream, from all entries. */
  countLoad(upstream: DirectUpstream, nowMs: number): number {
    const unheardPeers = this.entryCount - 1 - this.heardPeers.size;
    return upstream.countLoad(nowMs, unheardPeers, nowMs - this.#startedAtMs < STARTUP_MS);
  }

  /** Names the listener for changes of this entry's own counts. */
  onInFlightChange(listener: (upstream: DirectUpstream) => void): void {
    this.#onInFlightChange = listener;
  }

  /** Counts a request that begins (1) or ends (-1) at an upstream. */
  addInFlight(upstream: DirectUpstream, change: 1 | -1): void {
    // eslint-disable-next-line no-param-reassign -- the board owns its upstreams
    upstream.inFlight += change;
    this.#onInFlightChange?.(upstream);
  }

  #indexPools(): void {
    this.#byPool.clear();
    this.#upstreams.forEach((upstream) => {
      const { pool } = upstream.entry;
      this.#byPool.set(pool, [...(this.#byPool.get(pool) ?? []), upstream]);
    });
  }
}
