/**
 * What waits and arrives in each pool by urgency, in this entry and in its peers.
 *
 * Answers the load of a pool that many entries share: a request that waits in one entry would lose
 * every slot that another entry releases to a less urgent request there.
 */
import type { PoolDemandNews } from '../../messages/demandMessage.js';
import { PeerState, type CountsFields, type CountsMessage } from '../peerState.js';

import { OwnDemand } from './ownDemand.js';
import { NO_COUNTS } from './urgencyRank.js';

/**
 * Time without a message after which what a peer has waiting is not waited for, in milliseconds:
 * two batches beyond the interval of full counts.
 */
const PEER_FRESH_MS = 560;

const SECONDS_PER_MINUTE = 60;

/** Demand of a peer for one pool. */
interface PeerDemand {
  readonly waiting: readonly number[];
  readonly arrivingPerS: readonly number[];
  readonly prefilling: number;
}

interface Peer {
  heardAtMs: number;
  demands: ReadonlyMap<string, PeerDemand>;
}

function toCounts(record: Readonly<Record<string, number>>): readonly number[] {
  return NO_COUNTS.map((_, rank) => record[rank] ?? 0);
}

function readDemands(
  demands: readonly (readonly [string, OwnDemand])[],
  nowMs: number,
): Record<string, PoolDemandNews> {
  return Object.fromEntries(demands.map(([pool, own]) => [pool, own.read(nowMs)]));
}

function sumUpTo(counts: readonly number[], rank: number): number {
  return counts.slice(0, rank).reduce((sum, count) => sum + count, 0);
}

/** Demand of all entries for the slots of pools whose requests differ in urgency. */
export class FleetDemand extends PeerState {
  readonly #own = new Map<string, OwnDemand>();

  readonly #peers = new Map<string, Peer>();

  /**
   * Starts to tell this entry's demand for a pool; until then, it is unknown to the peers.
   *
   * @param countPrefilling returns the requests in flight that have had no output yet
   */
  addPool(pool: string, countPrefilling: () => number): void {
    this.#own.set(pool, new OwnDemand(countPrefilling));
  }

  removePool(pool: string): void {
    this.#own.delete(pool);
  }

  /** Records what waits in this entry for a slot, by rank. */
  setWaiting(pool: string, waiting: readonly number[]): void {
    const own = this.#own.get(pool);
    if (!own || own.waiting.every((count, rank) => count === waiting[rank])) return;
    Object.assign(own, { waiting, isChanged: true });
    this.noteChange();
  }

  /** Records the first attempt of a caller at this entry. */
  noteArrival(pool: string, rank: number, nowMs: number): void {
    this.#own.get(pool)?.noteArrival(rank, nowMs);
  }

  /** Schedules a message, as a prefill has completed. */
  notePrefilled(): void {
    this.noteChange();
  }

  /** Requests that wait at the peers and are more urgent than the rank. */
  countWaitingAbove(pool: string, rank: number, nowMs: number): number {
    return this.#sumPeers(pool, nowMs, ({ waiting }) => sumUpTo(waiting, rank));
  }

  /** Requests of the rank that wait at the peers. */
  countWaitingEqual(pool: string, rank: number, nowMs: number): number {
    return this.#sumPeers(pool, nowMs, ({ waiting }) => waiting[rank] ?? 0);
  }

  /** First attempts per second that are more urgent than the rank, at all entries. */
  readArrivingAbovePerS(pool: string, rank: number, nowMs: number): number {
    const own = this.#own.get(pool);
    const ownPerS = NO_COUNTS.slice(0, rank).reduce(
      (sum, _, above) => sum + (own?.readArrivingPerS(above, nowMs) ?? 0),
      0,
    );
    return ownPerS + this.#sumPeers(pool, nowMs, (peer) => sumUpTo(peer.arrivingPerS, rank));
  }

  /** Requests in flight from the peers that have had no output yet. */
  countPeersPrefilling(pool: string, nowMs: number): number {
    return this.#sumPeers(pool, nowMs, ({ prefilling }) => prefilling);
  }

  /** Whether each of the given peers has told its demand for the pool. */
  isKnown(pool: string, peers: ReadonlySet<string>): boolean {
    if (peers.size === 0) return false;
    return [...peers].every((name) => this.#peers.get(name)?.demands.has(pool));
  }

  override readFull(nowMs: number): CountsFields {
    if (this.#own.size === 0) return {};
    return { demands: readDemands([...this.#own], nowMs) };
  }

  override takeChanges(nowMs: number): CountsFields | undefined {
    const changed = [...this.#own].filter(([, { isUntold }]) => isUntold);
    if (changed.length === 0) return undefined;
    changed.forEach(([, own]) => own.noteTold());
    return { demands: readDemands(changed, nowMs) };
  }

  override apply({ entry, isFull, demands }: CountsMessage, nowMs: number): void {
    const peer = this.#peers.get(entry) ?? { heardAtMs: nowMs, demands: new Map() };
    this.#peers.set(entry, peer);
    peer.heardAtMs = nowMs;
    const told = Object.entries(demands ?? {}).map(([pool, news]) => {
      const arrivingPerS = toCounts(news.arrivingPerMin).map((n) => n / SECONDS_PER_MINUTE);
      const { prefilling } = news;
      return [pool, { waiting: toCounts(news.waiting), arrivingPerS, prefilling }] as const;
    });
    if (isFull) peer.demands = new Map(told);
    else if (told.length > 0) peer.demands = new Map([...peer.demands, ...told]);
  }

  override dropPeer(entry: string): void {
    this.#peers.delete(entry);
  }

  #sumPeers(pool: string, nowMs: number, read: (demand: PeerDemand) => number): number {
    let sum = 0;
    this.#peers.forEach(({ heardAtMs, demands }) => {
      const demand = demands.get(pool);
      if (demand && nowMs - heardAtMs <= PEER_FRESH_MS) sum += read(demand);
    });
    return sum;
  }
}
