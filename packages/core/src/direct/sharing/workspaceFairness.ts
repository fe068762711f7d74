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

import { solveWaterLevel } from './waterLevel.js';
import { COST_STEP, type WorkspaceClaim } from './workspaceClaim.js';
import { WorkspaceUsage, type ClaimingRequest, type WorkspaceNeed } from './workspaceUsage.js';

/**
 * Age from which a peer's state is ignored, in milliseconds. It is checked when it is read, as the
 * exchange itself drops a silent peer only at its next heartbeat.
 */
const PEER_VALID_MS = 1_600;

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

/** Lowest level, so that a workspace that holds nothing is never above its share. */
const LEVEL_MIN = COST_STEP;

type Counts = Readonly<Record<string, number>>;

interface PeerUsage {
  readonly session: number;
  readonly sequence: number;
  readonly receivedAtMs: number;
  readonly pending: Readonly<Record<string, Counts>>;
  readonly pools: Readonly<Record<string, PoolUsageNews>>;
}

/** Shares of one pool, as computed from all that is known at one time. */
interface PoolView {
  readonly atMs: number;
  /** Use of each workspace in other entries. */
  readonly peerUses: ReadonlyMap<string, number>;
  /** Share per unit of weight of the workspaces whose demand is not met. */
  readonly level: number;
  /** Pending requests of workspaces below their share, by priority, in all entries. */
  readonly pending: ReadonlyMap<number, number>;
}

/** A workspace that holds more than its share. */
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
  return Math.ceil(units / COST_STEP);
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

  readonly #peers = new Map<string, PeerUsage>();

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
    this.#views.delete(pool);
    this.noteChange();
  }

  /** Records that a request was refused for lack of capacity. */
  noteRefused(pool: string, request: ClaimingRequest, nowMs: number): void {
    if (!request.claim) return;
    this.#findOwn(pool).noteRefused(request, nowMs);
    this.#views.delete(pool);
    this.noteChange();
  }

  /** Returns by how much a workspace holds its share or more; undefined where it is below. */
  findExcess(
    pool: string,
    claim: WorkspaceClaim | undefined,
    nowMs: number,
  ): ShareExcess | undefined {
    if (!claim) return undefined;
    const { level, peerUses } = this.#view(pool, nowMs);
    return this.#findExcess(pool, claim.workspace, level, peerUses);
  }

  /** Requests of workspaces below their share, at least as urgent, that wait in any entry. */
  countPending(pool: string, priority: number, nowMs: number): number {
    const { pending } = this.#view(pool, nowMs);
    return [...pending].reduce((sum, [each, count]) => sum + (each <= priority ? count : 0), 0);
  }

  /** Whether some workspace wants more than it has, so that shares decide. */
  isContended(pool: string, nowMs: number): boolean {
    return Number.isFinite(this.#view(pool, nowMs).level);
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
    const known = this.#peers.get(entry);
    if (!workspaceUsage) {
      if (isFull) this.dropPeer(entry);
      return;
    }
    const { session, sequence, pending, pools } = workspaceUsage;
    const isSameSession = known?.session === session;
    if (isSameSession && sequence <= known.sequence) return;
    const earlierPools = isSameSession && !isFull ? known.pools : {};
    const usage = { session, sequence, pending, pools: pools ?? earlierPools };
    this.#peers.set(entry, { ...usage, receivedAtMs: nowMs });
    this.#views.clear();
    if (!known) this.noteChange();
  }

  override dropPeer(entry: string): void {
    if (this.#peers.delete(entry)) this.#views.clear();
  }

  #findOwn(pool: string): WorkspaceUsage {
    const known = this.#own.get(pool);
    if (known) return known;
    const usage = new WorkspaceUsage();
    this.#own.set(pool, usage);
    return usage;
  }

  #listPeers(nowMs: number): readonly PeerUsage[] {
    return [...this.#peers.values()].filter(
      ({ receivedAtMs }) => nowMs - receivedAtMs < PEER_VALID_MS,
    );
  }

  /** Pools in which requests wait or were refused lately, in any entry. */
  #listContended(nowMs: number): readonly string[] {
    return [...this.#own.keys()].filter((pool) => this.isContended(pool, nowMs));
  }

  #createNews(pools: readonly string[], nowMs: number, hasUsage: boolean): WorkspaceUsageNews {
    this.#sequence += 1;
    const pending = Object.fromEntries(
      pools.map((pool) => [pool, formatPending(this.#countOwnPending(pool, nowMs))]),
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
    const peers = this.#listPeers(nowMs);
    const usages = peers.flatMap(({ pools }) => pools[pool] ?? []);
    const peerUses = new Map<string, number>();
    const wants = new Map<string, number>();
    usages.forEach(({ workspaces }) =>
      workspaces.forEach(([workspace, use, want]) => {
        peerUses.set(workspace, (peerUses.get(workspace) ?? 0) + use * COST_STEP);
        wants.set(workspace, (wants.get(workspace) ?? 0) + want * COST_STEP);
      }),
    );
    const uses = new Map(peerUses);
    this.#own
      .get(pool)
      ?.list(nowMs)
      .forEach(({ workspace, use, want }) => {
        uses.set(workspace, (uses.get(workspace) ?? 0) + use);
        wants.set(workspace, (wants.get(workspace) ?? 0) + want);
      });
    const othersWant = usages.reduce((sum, { others }) => sum + others[1] * COST_STEP, 0);
    const level = this.#solveLevel(uses, wants, othersWant);
    const ownPending = this.#countPendingBelow(pool, level, peerUses, nowMs);
    const pending = new Map(ownPending);
    peers.forEach((peer) =>
      Object.entries(peer.pending[pool] ?? {}).forEach(([priority, count]) => {
        pending.set(Number(priority), (pending.get(Number(priority)) ?? 0) + count);
      }),
    );
    return { atMs: nowMs, peerUses, level, pending };
  }

  /**
   * The capacity is what all workspaces hold now: while requests wait, no slot is free for long.
   * Measured so, it needs neither the limit in flight nor the mean cost of requests.
   *
   * @param othersWant demand of workspaces that are not listed, which are small and come first
   */
  #solveLevel(
    uses: ReadonlyMap<string, number>,
    wants: ReadonlyMap<string, number>,
    othersWant: number,
  ): number {
    const wanted = [...wants.values()].reduce((sum, want) => sum + want, 0) + othersWant;
    if (wanted === 0) return Number.POSITIVE_INFINITY;
    const names = [...new Set([...uses.keys(), ...wants.keys()])];
    const demands = names.map((workspace) => ({
      demand: (uses.get(workspace) ?? 0) + (wants.get(workspace) ?? 0),
      weight: this.#options.readWeight(workspace),
    }));
    const capacity = [...uses.values()].reduce((sum, use) => sum + use, 0) - othersWant;
    return Math.max(LEVEL_MIN, solveWaterLevel(demands, capacity));
  }

  #countOwnPending(pool: string, nowMs: number): ReadonlyMap<number, number> {
    const { level, peerUses } = this.#view(pool, nowMs);
    return this.#countPendingBelow(pool, level, peerUses, nowMs);
  }

  #countPendingBelow(
    pool: string,
    level: number,
    peerUses: ReadonlyMap<string, number>,
    nowMs: number,
  ): ReadonlyMap<number, number> {
    const own = this.#own.get(pool);
    const isBelow = (workspace: string) => !this.#findExcess(pool, workspace, level, peerUses);
    return own?.countPending(isBelow, nowMs) ?? new Map<number, number>();
  }

  #findExcess(
    pool: string,
    workspace: string,
    level: number,
    peerUses: ReadonlyMap<string, number>,
  ): ShareExcess | undefined {
    if (!Number.isFinite(level)) return undefined;
    const use = (this.#own.get(pool)?.readUse(workspace) ?? 0) + (peerUses.get(workspace) ?? 0);
    const share = level * this.#options.readWeight(workspace);
    return use >= share ? { use, share } : undefined;
  }
}
