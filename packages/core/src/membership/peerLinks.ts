/**
 * Keeps links among entries: from the seed addresses at first, then from the registry.
 *
 * With few entries every pair has a link, dialled by the one whose name comes first. With many,
 * each dials a few that are chosen by rendezvous hashing. A pair without a link for longer than
 * a silence is dialled from both ends.
 */
import { chooseReaders } from '../config/configReaders.js';
import { ConfigKind } from '../config/object.js';
import type { EntryPeerState } from '../state/entryBoard.js';
import type { Link } from '../ports/link.js';
import { HeartbeatTimer } from './heartbeatTimer.js';
import { InboundPeer } from './inboundPeer.js';
import type { PeerContext, PeerExchange } from './peerExchange.js';
import { OutboundPeer, type PeerLinkOwner } from './outboundPeer.js';
import type { Registration } from './registry.js';
import { rankMembers } from './rendezvous.js';

/** Peers up to which every pair has a link. */
export const FULL_MESH_PEERS = 8;

/** Peers that each entry dials beyond that. */
export const DIALLED_PEERS = 4;

/** Those of them that prove by the platform, so that this entry hears of it at first hand. */
const DIALLED_READERS = 2;

/** Time without a link after which a peer is forgotten that was never registered. */
const UNREGISTERED_PEER_EXPIRY_MS = 600_000;

export interface PeerLinksOptions extends PeerContext {
  /** Addresses of entries to ask before the registry has been read. */
  readonly seedAddresses: readonly string[];
  /** Registered entries by name, this one included; undefined before they have been read. */
  readonly readEntries: () => ReadonlyMap<string, Registration> | undefined;
}

/** Peers that an entry dials among many: some that prove by the platform, and some others. */
function chooseDialledPeers(self: string, names: readonly string[]): readonly string[] {
  const readers = chooseReaders([self, ...names]).filter((name) => name !== self);
  const relays = rankMembers(self, readers).slice(0, DIALLED_READERS);
  const others = rankMembers(self, names).filter((name) => !relays.includes(name));
  return [...relays, ...others.slice(0, DIALLED_PEERS - DIALLED_READERS)];
}

function createPeer(name: string, address: string): EntryPeerState {
  return {
    name,
    address,
    incarnation: '',
    link: undefined,
    lastHeardAtMs: Number.NEGATIVE_INFINITY,
    configRevision: 0,
  };
}

/** The links of one entry to other entries. */
export class PeerLinks implements PeerLinkOwner {
  readonly #options: PeerLinksOptions;

  readonly #outbound = new Map<string, OutboundPeer>();

  readonly #inbound = new Set<InboundPeer>();

  /** Peers that were in the registry. */
  readonly #registered = new Set<string>();

  /** When a peer without any link had one last. */
  readonly #unlinkedSinceMs = new Map<string, number>();

  readonly #heartbeat: HeartbeatTimer;

  #isRunning = false;

  constructor(options: PeerLinksOptions) {
    this.#options = options;
    this.#heartbeat = new HeartbeatTimer(options.timing.heartbeatMs, (nowMs, isSilenceJudged) =>
      this.#sendHeartbeats(nowMs, isSilenceJudged),
    );
    options.feed.onRise((rise) =>
      this.#listExchanges().forEach((exchange) => exchange.announceUpdate(rise)),
    );
  }

  start(): void {
    if (this.#isRunning) return;
    this.#isRunning = true;
    this.#heartbeat.start();
    this.reconcile();
  }

  stop(): void {
    this.#isRunning = false;
    this.#heartbeat.stop();
    this.#outbound.forEach((session) => session.close('stopping'));
    this.#outbound.clear();
    [...this.#inbound].forEach((peer) => peer.close('stopping'));
  }

  /** Takes a link that another entry has dialled; its greeting is still to come. */
  accept(link: Link): void {
    const peer = new InboundPeer(this.#options, this, link, (closed) => {
      this.#inbound.delete(closed);
    });
    this.#inbound.add(peer);
    peer.start();
  }

  findPeer(name: string, address: string): EntryPeerState | undefined {
    const { board } = this.#options;
    if (name === board.name) return undefined;
    const known = board.peers.get(name);
    if (known) return known;
    const peer = createPeer(name, address);
    board.peers.set(name, peer);
    return peer;
  }

  onPeerLinkChange(name: string): void {
    const peer = this.#options.board.peers.get(name);
    if (!peer) return;
    peer.link = this.#findExchange(name)?.link;
    if (peer.link) this.#unlinkedSinceMs.delete(name);
    else this.#unlinkedSinceMs.set(name, Date.now());
    this.#updateLeasePeers();
  }

  /** Compares peers and links with the registry and the seeds. */
  reconcile(): void {
    if (!this.#isRunning) return;
    const entries = this.#options.readEntries();
    if (entries) this.#updatePeers(entries);
    const wanted = new Set(entries ? this.#chooseAddresses(entries) : this.#options.seedAddresses);
    [...this.#outbound.entries()].forEach(([address, session]) => {
      if (wanted.has(address) || this.#isOnlyLink(session)) return;
      session.close('not needed');
      this.#outbound.delete(address);
    });
    wanted.forEach((address) => this.#ensureOutboundPeer(address));
    this.#updateLeasePeers();
  }

  #updatePeers(entries: ReadonlyMap<string, Registration>): void {
    const { board } = this.#options;
    entries.forEach(({ address, domain }, name) => {
      const peer = this.findPeer(name, address);
      if (!peer) return;
      peer.address = address;
      peer.region = board.config.get(ConfigKind.Domain, domain)?.region;
    });
    [...board.peers.values()]
      .filter((peer) => !entries.has(peer.name) && !peer.link && this.#isForgettable(peer.name))
      .forEach((peer) => this.#forget(peer.name));
    entries.forEach((_, name) => this.#registered.add(name));
  }

  /** A peer may be forgotten once its registration was removed, or if it never had one for long. */
  #isForgettable(name: string): boolean {
    const unlinkedMs = Date.now() - (this.#unlinkedSinceMs.get(name) ?? Date.now());
    return this.#registered.has(name) || unlinkedMs > UNREGISTERED_PEER_EXPIRY_MS;
  }

  #forget(name: string): void {
    this.#options.board.peers.delete(name);
    this.#registered.delete(name);
    this.#unlinkedSinceMs.delete(name);
  }

  /** Addresses of the peers that this entry dials. */
  #chooseAddresses(entries: ReadonlyMap<string, Registration>): readonly string[] {
    const { board } = this.#options;
    const names = [...entries.keys()].filter((name) => name !== board.name);
    const chosen =
      names.length <= FULL_MESH_PEERS
        ? names.filter((name) => board.name < name || this.#isLongUnlinked(name))
        : chooseDialledPeers(board.name, names);
    return chosen.flatMap((name) => entries.get(name)?.address ?? []);
  }

  #isLongUnlinked(name: string): boolean {
    if (this.#options.board.peers.get(name)?.link) return false;
    const sinceMs = this.#unlinkedSinceMs.get(name);
    if (sinceMs === undefined) this.#unlinkedSinceMs.set(name, Date.now());
    return Date.now() - (sinceMs ?? Date.now()) > this.#options.timing.silenceLimitMs;
  }

  /** Whether a peer would be without a link if this session ended. */
  #isOnlyLink(session: OutboundPeer): boolean {
    const { exchange, peerName } = session;
    if (!exchange || !peerName) return false;
    const isInbound = [...this.#inbound].some((peer) => peer.peerName === peerName);
    return !isInbound && this.#options.board.peers.has(peerName);
  }

  #ensureOutboundPeer(address: string): void {
    if (this.#outbound.has(address)) return;
    const session = new OutboundPeer(this.#options, this, address);
    this.#outbound.set(address, session);
    session.dial();
  }

  #listExchanges(): readonly PeerExchange[] {
    const sessions = [...this.#outbound.values()].map((session) => session.exchange);
    const inbound = [...this.#inbound].map((peer) => peer.exchange);
    return [...sessions, ...inbound].filter((exchange) => exchange !== undefined);
  }

  #findExchange(name: string): PeerExchange | undefined {
    const ends = [...this.#outbound.values(), ...this.#inbound];
    return ends.find((end) => end.peerName === name && end.exchange)?.exchange;
  }

  /** Tells the lease of which peers it needs a majority. */
  #updateLeasePeers(): void {
    const { board, lease, seedAddresses } = this.#options;
    const entries = this.#options.readEntries();
    const isMesh = board.peers.size <= FULL_MESH_PEERS;
    const peers = [...board.peers.values()].filter((peer) => isMesh || peer.link);
    const isComplete = entries
      ? entries.get(board.name)?.incarnation === board.incarnation
      : this.#hasEverySeedAnswered(seedAddresses);
    lease.setPeers(new Set(peers.map((peer) => peer.name)), isComplete);
  }

  #hasEverySeedAnswered(seedAddresses: readonly string[]): boolean {
    if (seedAddresses.length === 0) return false;
    return seedAddresses.every((address) => this.#outbound.get(address)?.peerName !== undefined);
  }

  #sendHeartbeats(nowMs: number, isSilenceJudged: boolean): void {
    this.#outbound.forEach((session) => session.sendHeartbeat(nowMs, isSilenceJudged));
    [...this.#inbound].forEach((peer) => peer.sendHeartbeat(nowMs, isSilenceJudged));
    this.reconcile();
  }
}
