/** What the other entries have told of the use of pools by workspaces. */
import type { PoolUsageNews, WorkspaceUsageNews } from '../../messages/workspaceUsageMessage.js';

import { FACTOR_STEP } from './workspaceClaim.js';

/**
 * Age from which a peer's use is ignored, in milliseconds. It is checked when it is read, as the
 * exchange itself drops a silent peer only at a heartbeat.
 */
const USE_VALID_MS = 1_550;

/**
 * Age from which a peer's pending requests are ignored, in milliseconds: a full message is sent
 * every 500 ms, and slots are kept free for these requests.
 */
const PENDING_VALID_MS = 700;

/** Time for which a sum over all peers is used, in milliseconds: one batch of the exchange. */
const SUM_VALID_MS = 20;

type Counts = Readonly<Record<string, number>>;

interface PeerUsage {
  readonly session: number;
  readonly sequence: number;
  readonly receivedAtMs: number;
  readonly pending: Readonly<Record<string, Counts>>;
  readonly pools: Readonly<Record<string, PoolUsageNews>>;
}

/** Sum over all peers for one pool, in units of its usual request. */
export interface PeerSum {
  readonly atMs: number;
  readonly uses: ReadonlyMap<string, number>;
  readonly wants: ReadonlyMap<string, number>;
  /** Demand of the workspaces that are not listed by name. */
  readonly othersWant: number;
  /** Pending requests of workspaces below their share, by priority. */
  readonly pending: ReadonlyMap<number, number>;
}

function addTo<Key>(sums: Map<Key, number>, key: Key, amount: number): void {
  sums.set(key, (sums.get(key) ?? 0) + amount);
}

/** State of the peers; a peer that is not heard has no part in it. */
export class PeerUsages {
  readonly #peers = new Map<string, PeerUsage>();

  readonly #sums = new Map<string, PeerSum>();

  /**
   * Applies what a peer has sent. Messages that are late or duplicated have no effect.
   *
   * @param isFull whether it replaces everything that the peer has sent before
   * @returns whether nothing was known of the peer
   */
  apply(entry: string, news: WorkspaceUsageNews, isFull: boolean, nowMs: number): boolean {
    const known = this.#peers.get(entry);
    const { session, sequence, pending, pools } = news;
    const isSameSession = known?.session === session;
    if (isSameSession && sequence <= known.sequence) return false;
    const earlierPools = isSameSession && !isFull ? known.pools : {};
    const usage = { session, sequence, pending, pools: pools ?? earlierPools };
    this.#peers.set(entry, { ...usage, receivedAtMs: nowMs });
    return !known;
  }

  drop(entry: string): void {
    if (this.#peers.delete(entry)) this.#sums.clear();
  }

  /** Returns the sum over all peers that are heard. */
  sum(pool: string, nowMs: number): PeerSum {
    const known = this.#sums.get(pool);
    if (known && nowMs - known.atMs < SUM_VALID_MS) return known;
    const sum = this.#compute(pool, nowMs);
    this.#sums.set(pool, sum);
    return sum;
  }

  #compute(pool: string, nowMs: number): PeerSum {
    const uses = new Map<string, number>();
    const wants = new Map<string, number>();
    const pending = new Map<number, number>();
    let othersWant = 0;
    this.#peers.forEach((peer) => {
      const ageMs = nowMs - peer.receivedAtMs;
      const usage = ageMs < USE_VALID_MS ? peer.pools[pool] : undefined;
      usage?.workspaces.forEach(([workspace, use, want]) => {
        addTo(uses, workspace, use * FACTOR_STEP);
        addTo(wants, workspace, want * FACTOR_STEP);
      });
      othersWant += (usage?.others[1] ?? 0) * FACTOR_STEP;
      if (ageMs >= PENDING_VALID_MS) return;
      Object.entries(peer.pending[pool] ?? {}).forEach(([priority, count]) =>
        addTo(pending, Number(priority), count),
      );
    });
    return { atMs: nowMs, uses, wants, othersWant, pending };
  }
}
