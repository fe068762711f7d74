/**
 * Weighted max-min shares of the workspaces in the capacity of each pool, over all entries.
 *
 * Handles one workspace that bursts or repeats refused requests at once while the pool is full.
 * Each entry knows its own use exactly and that of its peers by exchange, and comes to the same
 * decision by itself. The shares bind only while requests of workspaces below their share wait or
 * were refused lately, in any entry; nothing is exchanged at other times.
 */
import type { PoolUsageNews, WorkspaceUsageNews } from '../../messages/workspaceUsageMessage.js';
import { WORKSPACES_MAX } from '../../messages/workspaceUsageMessage.js';
import { PeerState, type CountsFields, type CountsMessage } from '../peerState.js';

import { PeerUsages, type PeerSum } from './peerUsages.js';
import { solveWaterLevel } from './waterLevel.js';
import { FACTOR_STEP, type WorkspaceClaim } from './workspaceClaim.js';
import { WorkspaceUsage, type ClaimingRequest, type WorkspaceNeed } from './workspaceUsage.js';

/**
 * Shortest interval between two messages with the use by workspace, in milliseconds. Waiting
 * requests are reported with each batch, as others yield to them.
 */
const USAGE_INTERVAL_MS = 200;

/** Time for which a computed level is used, in milliseconds: one batch of the exchange. */
const VIEW_VALID_MS = 20;

/** Workspaces of a pool that all entries together report, and the fewest that one reports. */
const FLEET_WORKSPACES = 480;
const WORKSPACES_MIN = 4;

/** Lowest share, so that a workspace that holds nothing is always below it. */
const SHARE_MIN = FACTOR_STEP;

/**
 * Part of the common ratio of capacity to demand that every workspace gets: in a deep overload, the
 * equal shares of max-min fairness alone would serve the largest of 24 workspaces less than a
 * quarter as often as all. It bounds what a workspace gains by inflated demand to this part of the
 * pool.
 */
const FLOOR_FRACTION = 0.3;

/** Shares of one pool, as computed from all that is known at one time. */
interface PoolView {
  readonly atMs: number;
  readonly peers: PeerSum;
  /** Share of each workspace; undefined while all demands are met. */
  readonly shares: ReadonlyMap<string, number> | undefined;
  /** Pending requests of workspaces below their share in this entry, by priority. */
  readonly ownPending: ReadonlyMap<number, number>;
}

/** What a workspace holds that has at least its share. */
export interface ShareExcess {
  readonly use: number;
  readonly share: number;
}

export interface WorkspaceFairnessOptions {
  /** Weight of a workspace by the configuration. */
  readonly readWeight: (workspace: string) => number;
  readonly countEntries: () => number;
  /** Number that distinguishes this run of the process from others. */
  readonly session: number;
}

function toSteps(units: number): number {
  return Math.ceil(units / FACTOR_STEP);
}

function sumNeeds(needs: readonly WorkspaceNeed[]): readonly [number, number] {
  const use = needs.reduce((sum, each) => sum + each.use, 0);
  const want = needs.reduce((sum, each) => sum + each.want, 0);
  return [use, want];
}

function formatPending(pending: ReadonlyMap<number, number>): Record<string, number> {
  return Object.fromEntries([...pending].map(([priority, count]) => [`${priority}`, count]));
}

/** Shares of workspaces, as decided by one entry. */
export class WorkspaceFairness extends PeerState {
  readonly #options: WorkspaceFairnessOptions;

  readonly #own = new Map<string, WorkspaceUsage>();

  readonly #peers = new PeerUsages();

  readonly #views = new Map<string, PoolView>();

  #sequence = 0;

  /** Pending requests as last sent. */
  #sentPending = '{}';

  #sentUsageAtMs = Number.NEGATIVE_INFINITY;

  /** Whole state as last computed; it is sent to each peer separately. */
  #full: { readonly atMs: number; readonly fields: CountsFields } | undefined;

  constructor(options: WorkspaceFairnessOptions) {
    super();
    this.#options = options;
  }

  /** Adds 1 to the requests of a workspace in flight when one starts, or -1 when it ends. */
  addInFlight(pool: string, claim: WorkspaceClaim | undefined, change: 1 | -1): void {
    if (claim) this.#findOwn(pool).addInFlight(claim, change);
  }

  /** Records with 1 that a request begins to wait, and with -1 that it no longer does. */
  addWaiting(pool: string, request: ClaimingRequest, change: 1 | -1): void {
    if (!request.claim) return;
    this.#findOwn(pool).addWaiting(request, change);
    this.noteChange();
  }

  /** Records that a request was refused for lack of capacity. */
  noteRefused(pool: string, request: ClaimingRequest, nowMs: number): void {
    if (!request.claim) return;
    this.#findOwn(pool).noteRefused(request, nowMs);
    this.noteChange();
  }

  /** Load of the requests of a workspace in flight from all entries. */
  readUse(pool: string, workspace: string, nowMs: number): number {
    const ownUse = this.#own.get(pool)?.readUse(workspace) ?? 0;
    return ownUse + (this.#peers.sum(pool, nowMs).uses.get(workspace) ?? 0);
  }

  /** Returns what a workspace holds if that is its share or more; undefined if it is below. */
  findExcess(
    pool: string,
    claim: WorkspaceClaim | undefined,
    nowMs: number,
  ): ShareExcess | undefined {
    if (!claim) return undefined;
    return this.#findExcess(pool, claim.workspace, this.#view(pool, nowMs).shares, nowMs);
  }

  /**
   * Requests of workspaces below their share that are at least as urgent, and that wait or were
   * refused lately, in all entries.
   */
  countPending(pool: string, priority: number, nowMs: number): number {
    const { ownPending, peers } = this.#view(pool, nowMs);
    const all = [...ownPending, ...peers.pending];
    return all.reduce((sum, [each, count]) => sum + (each <= priority ? count : 0), 0);
  }

  /** Whether some workspace wants more than it has, so that shares decide. */
  isContended(pool: string, nowMs: number): boolean {
    return this.#view(pool, nowMs).shares !== undefined;
  }

  override readFull(nowMs: number): CountsFields {
    if (!this.#full || nowMs - this.#full.atMs >= VIEW_VALID_MS) {
      const pools = this.#listContended(nowMs);
      const isEmpty = pools.length === 0;
      const fields = isEmpty ? {} : { workspaceUsage: this.#createNews(pools, nowMs, true) };
      this.#full = { atMs: nowMs, fields };
    }
    return this.#full.fields;
  }

  override takeChanges(nowMs: number): CountsFields | undefined {
    const pools = this.#listContended(nowMs);
    const news = this.#createNews(pools, nowMs, false);
    const key = JSON.stringify(news.pending);
    const isUsageDue = pools.length > 0 && nowMs - this.#sentUsageAtMs >= USAGE_INTERVAL_MS;
    if (key === this.#sentPending && !isUsageDue) return undefined;
    this.#sentPending = key;
    if (!isUsageDue) return { workspaceUsage: news };
    this.#sentUsageAtMs = nowMs;
    return { workspaceUsage: this.#createNews(pools, nowMs, true) };
  }

  override apply({ entry, isFull, workspaceUsage }: CountsMessage, nowMs: number): void {
    if (workspaceUsage) {
      const isNew = this.#peers.apply(entry, workspaceUsage, isFull, nowMs);
      if (isNew) this.noteChange();
    } else if (isFull) this.#peers.drop(entry);
  }

  override dropPeer(entry: string): void {
    this.#peers.drop(entry);
    this.#views.clear();
  }

  #findOwn(pool: string): WorkspaceUsage {
    const known = this.#own.get(pool);
    if (known) return known;
    const usage = new WorkspaceUsage();
    this.#own.set(pool, usage);
    return usage;
  }

  /** Pools in which requests wait or were refused lately, in any entry. */
  #listContended(nowMs: number): readonly string[] {
    return [...this.#own.keys()].filter((pool) => this.isContended(pool, nowMs));
  }

  #createNews(pools: readonly string[], nowMs: number, hasUsage: boolean): WorkspaceUsageNews {
    this.#sequence += 1;
    const pending = Object.fromEntries(
      pools.map((pool) => [pool, formatPending(this.#view(pool, nowMs).ownPending)]),
    );
    const usages = pools.map((pool) => [pool, this.#describeUsage(pool, nowMs)] as const);
    return {
      session: this.#options.session,
      sequence: this.#sequence,
      pending,
      ...(hasUsage && { pools: Object.fromEntries(usages) }),
    };
  }

  #describeUsage(pool: string, nowMs: number): PoolUsageNews {
    const perEntry = Math.ceil(FLEET_WORKSPACES / Math.max(1, this.#options.countEntries()));
    const count = Math.min(WORKSPACES_MAX, Math.max(WORKSPACES_MIN, perEntry));
    const needs = [...this.#findOwn(pool).list(nowMs)].sort(
      (a, b) => b.use + b.want - a.use - a.want,
    );
    const [othersUse, othersWant] = sumNeeds(needs.slice(count));
    return {
      workspaces: needs
        .slice(0, count)
        .map(({ workspace, use, want }) => [workspace, toSteps(use), toSteps(want)]),
      others: [toSteps(othersUse), toSteps(othersWant)],
    };
  }

  #view(pool: string, nowMs: number): PoolView {
    const known = this.#views.get(pool);
    if (known && nowMs - known.atMs < VIEW_VALID_MS) return known;
    const view = this.#computeView(pool, nowMs);
    this.#views.set(pool, view);
    return view;
  }

  #computeView(pool: string, nowMs: number): PoolView {
    const own = this.#own.get(pool);
    const peers = this.#peers.sum(pool, nowMs);
    const shares = this.#computeShares(own?.list(nowMs) ?? [], peers);
    const isBelow = (workspace: string) => !this.#findExcess(pool, workspace, shares, nowMs);
    const ownPending = own?.countPending(isBelow, nowMs) ?? new Map<number, number>();
    return { atMs: nowMs, peers, shares, ownPending };
  }

  /**
   * The capacity is what all workspaces hold now: while requests wait, no slot is free for long.
   * Measured so, it needs neither the limit in flight nor the mean cost of requests. Workspaces
   * that are not listed by name are small, and their demand is met first.
   */
  #computeShares(
    ownNeeds: readonly WorkspaceNeed[],
    peers: PeerSum,
  ): ReadonlyMap<string, number> | undefined {
    const demands = new Map(peers.uses);
    const add = (workspace: string, amount: number): void => {
      demands.set(workspace, (demands.get(workspace) ?? 0) + amount);
    };
    const [ownUse, ownWant] = sumNeeds(ownNeeds);
    const peerUse = [...peers.uses.values()].reduce((sum, use) => sum + use, 0);
    const peerWant = [...peers.wants.values()].reduce((sum, want) => sum + want, 0);
    if (ownWant + peerWant + peers.othersWant === 0) return undefined;

    peers.wants.forEach((want, workspace) => add(workspace, want));
    ownNeeds.forEach(({ workspace, use, want }) => add(workspace, use + want));
    const capacity = Math.max(0, ownUse + peerUse - peers.othersWant);
    const floorRatio = (FLOOR_FRACTION * capacity) / (ownUse + ownWant + peerUse + peerWant);
    const weighted = [...demands].map(([workspace, demand]) => ({
      workspace,
      demand,
      weight: this.#options.readWeight(workspace),
      floor: demand * floorRatio,
    }));
    const level = solveWaterLevel(weighted, capacity);
    if (!Number.isFinite(level)) return undefined;
    return new Map(
      weighted.map(({ workspace, weight, floor }) => [workspace, Math.max(level * weight, floor)]),
    );
  }

  /** A workspace that has just come holds nothing, so it is below any share. */
  #findExcess(
    pool: string,
    workspace: string,
    shares: ReadonlyMap<string, number> | undefined,
    nowMs: number,
  ): ShareExcess | undefined {
    const known = shares?.get(workspace);
    if (known === undefined) return undefined;
    const share = Math.max(SHARE_MIN, known);
    const use = this.readUse(pool, workspace, nowMs);
    return use >= share ? { use, share } : undefined;
  }
}
