/**
 * Blackboard of an entry that calls upstreams itself: followers write to it, requests read from it.
 */
import { WorkExchange } from './cost/workExchange.js';
import { DirectUpstream, type UpstreamEntry } from './directUpstream.js';
import type { FleetBounds } from './fleetBounds.js';
import { formatIncarnation } from './incarnation.js';
import type { PeerState } from './peerState.js';
import { PoolActivity } from './poolActivity.js';
import { BreakerChangeSource, PoolBreaker } from './poolBreaker.js';
import { PromptQuarantine } from './prompts/promptQuarantine.js';
import { PermitMessages } from './requestLimits/permitMessages.js';
import { RequestLimits } from './requestLimits/requestLimits.js';
import { RequestPermits } from './requestLimits/requestPermits.js';
import type { RouteTable } from './routeTable.js';
import { WorkspaceFairness } from './sharing/workspaceFairness.js';
import { FleetDemand } from './sharing/fleetDemand.js';

/** Number of entries that is assumed until the registry has been read. */
const ASSUMED_ENTRY_COUNT = 4;

/** Time after the start, in milliseconds, in which peers may not have reported their counts yet. */
const STARTUP_MS = 3_000;

/** Maximum number of leaving incarnations that are remembered. */
const LEAVING_INCARNATIONS_MAX = 4_096;

/** Source of the information that an upstream is leaving. */
export enum LeavingSource {
  /** The upstream itself, in a response. */
  Upstream = 'upstream',
  Registry = 'registry',
  Peer = 'peer',
}

/** State shared by the controllers of one entry. */
export class FleetBoard {
  readonly name: string;

  readonly domain: string;

  /** Prompt parts that are held back, as they may crash upstreams. */
  readonly quarantine = new PromptQuarantine();

  /** Request limits that upstreams name. */
  readonly limits = new RequestLimits();

  /** Permits of this entry for upstreams with request limits. */
  readonly permits = new RequestPermits(this.limits);

  readonly permitMessages = new PermitMessages();

  /** Work left at upstreams, exchanged with the other entries. */
  readonly work = new WorkExchange({
    findUpstream: (id) => this.findUpstream(id),
    readPassMs: (pool) => this.getActivity(pool).meanPauseMs,
    countPool: (pool) => this.listPool(pool).length,
  });

  /** Shares of workspaces in the pools' capacity. */
  readonly fairness = new WorkspaceFairness({
    readWeight: (workspace) => this.#table?.readWeight(workspace) ?? 1,
    countEntries: () => this.entryCount,
    session: Date.now(),
  });

  /** What waits and arrives at all entries in pools whose requests differ in urgency. */
  readonly demand = new FleetDemand();

  /** State that is exchanged with the other entries beside in-flight counts. */
  readonly peerStates: readonly PeerState[] = [this.work, this.fairness, this.demand];

  /** Connected entries that can grant permits. */
  permitPeers: ReadonlySet<string> = new Set();

  /** Current limits; replaced as a whole when the settings change. */
  bounds: FleetBounds;

  readonly #startedAtMs = performance.now();

  #table: RouteTable | undefined;

  readonly #upstreams = new Map<string, DirectUpstream>();

  readonly #byPool = new Map<string, DirectUpstream[]>();

  readonly #activities = new Map<string, PoolActivity>();

  readonly #breakers = new Map<string, PoolBreaker>();

  #closedDomains: ReadonlySet<string> = new Set();

  /** Number of entries that share the upstreams, including this one. */
  entryCount = ASSUMED_ENTRY_COUNT;

  /** Whether the registry has been read at least once. */
  hasReadRegistry = false;

  isStopping = false;

  /** Other entries whose counts are up to date. */
  livePeers: ReadonlySet<string> = new Set();

  /** Peers that are in a planned stop. */
  stoppingPeers: ReadonlySet<string> = new Set();

  /** Slowdown factors that this entry has measured, by upstream id. They are sent to the peers. */
  measuredSlowdowns: ReadonlyMap<string, number> = new Map();

  /** Incarnations that are leaving. An outdated message does not make them available again. */
  readonly #leavingIncarnations = new Set<string>();

  /** Leaving incarnations that have reported it to this entry themselves. */
  readonly #selfReportedLeaving = new Set<string>();

  readonly #leavingListeners: ((upstream: DirectUpstream, source: LeavingSource) => void)[] = [];

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

  /** @returns false where the current table is as new or newer */
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

  /** Adds or updates an upstream from the registry; a new incarnation starts with empty state. */
  putUpstream(entry: UpstreamEntry): void {
    const known = this.#upstreams.get(entry.id);
    const isSame = known?.entry.startedAtUnixMs === entry.startedAtUnixMs;
    if (known && isSame) known.update(entry);
    else this.#upstreams.set(entry.id, new DirectUpstream(entry));
    if (known && !isSame) this.limits.forget(known.incarnation);
    const upstream = this.#upstreams.get(entry.id);
    if (upstream && this.#leavingIncarnations.has(formatIncarnation(entry))) upstream.noteLeaving();
    this.#indexPools();
  }

  /**
   * Incarnations in the registry that have reported to this entry themselves that they are leaving.
   */
  get selfReportedLeaving(): readonly string[] {
    if (this.#selfReportedLeaving.size === 0) return [];
    const incarnations = this.upstreams.map(({ entry }) => formatIncarnation(entry));
    return incarnations.filter((incarnation) => this.#selfReportedLeaving.has(incarnation));
  }

  isLeavingIncarnation(incarnation: string): boolean {
    return this.#leavingIncarnations.has(incarnation);
  }

  /** Marks an upstream as leaving: this incarnation receives no more requests. */
  noteLeaving(upstream: DirectUpstream, source: LeavingSource): void {
    this.noteLeavingIncarnation(formatIncarnation(upstream.entry), source);
    upstream.noteLeaving();
  }

  /** Marks an incarnation as leaving by its key; it may not be in the registry yet. */
  noteLeavingIncarnation(incarnation: string, source: LeavingSource): void {
    if (this.#leavingIncarnations.has(incarnation)) return;
    this.#leavingIncarnations.add(incarnation);
    if (source === LeavingSource.Upstream) this.#selfReportedLeaving.add(incarnation);
    this.#evictOldestIncarnation();
    const upstream = this.upstreams.find(({ entry }) => formatIncarnation(entry) === incarnation);
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

  /** Adds a listener for upstreams that start to leave. */
  onLeaving(listener: (upstream: DirectUpstream, source: LeavingSource) => void): void {
    this.#leavingListeners.push(listener);
  }

  removeUpstream(id: string): void {
    const upstream = this.#upstreams.get(id);
    if (!upstream) return;
    this.#upstreams.delete(id);
    this.limits.forget(upstream.incarnation);
    this.#indexPools();
  }

  isDomainClosed(domain: string): boolean {
    return this.#closedDomains.has(domain);
  }

  /** Replaces the set of failure domains that receive no new requests. */
  closeDomains(domains: ReadonlySet<string>): void {
    this.#closedDomains = domains;
  }

  /** Returns this entry's observations of a pool. */
  getActivity(pool: string): PoolActivity {
    const known = this.#activities.get(pool);
    if (known) return known;
    const activity = new PoolActivity();
    this.#activities.set(pool, activity);
    return activity;
  }

  /** Returns the circuit breaker of a pool. */
  getBreaker(pool: string): PoolBreaker {
    const known = this.#breakers.get(pool);
    if (known) return known;
    const breaker = new PoolBreaker();
    breaker.onChange((source) => {
      if (!breaker.isOpen && source === BreakerChangeSource.Own) this.#onRecovery?.(pool);
    });
    this.#breakers.set(pool, breaker);
    return breaker;
  }

  /** Sets the listener for pools that this entry finds to be available again. */
  onRecovery(listener: (pool: string) => void): void {
    this.#onRecovery = listener;
  }

  /** Requests in flight at an upstream, from all entries. */
  countLoad(upstream: DirectUpstream, nowMs: number): number {
    const unheardPeers = this.entryCount - 1 - this.livePeers.size;
    return upstream.countLoad(nowMs, unheardPeers, nowMs - this.#startedAtMs < STARTUP_MS);
  }

  /** Sets the listener for changes of this entry's own in-flight counts. */
  onInFlightChange(listener: (upstream: DirectUpstream) => void): void {
    this.#onInFlightChange = listener;
  }

  /** Adds 1 to an upstream's in-flight count when an attempt starts, or -1 when it ends. */
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
