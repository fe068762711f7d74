/**
 * Maintains the links among entries, at first from the seed addresses, then from the registry.
 *
 * With few entries every pair has a link (full mesh), opened by the entry whose name sorts first.
 * If such a pair stays without a link for longer than the silence limit, both ends try to open it.
 * With many entries, each opens links to a few others, chosen by rendezvous hashing.
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

/** Number of peers up to which every pair of entries has a link. */
export const FULL_MESH_PEERS = 8;

/** Number of peers to which each entry opens links when there are more than that. */
export const DIALLED_PEERS = 4;

/** Number of those that are configuration readers, so that their proofs arrive directly. */
const DIALLED_READERS = 2;

/** Time without a link after which a peer that was never registered is removed. */
const UNREGISTERED_PEER_EXPIRY_MS = 600_000;

export interface PeerLinksOptions extends PeerContext {
  /** Addresses of entries to connect to before the registry has been read. */
  readonly seedAddresses: readonly string[];
  /** Registered entries by name, this one included; undefined before the registry was read. */
  readonly readEntries: () => ReadonlyMap<string, Registration> | undefined;
}

/** Chooses the peers to dial among many entries: some configuration readers and some others. */
function chooseDialledPeers(self: string, names: readonly string[]): readonly string[] {
  const readers = chooseReaders([self, ...names]).filter((name) => name !== self);
  const dialledReaders = rankMembers(self, readers).slice(0, DIALLED_READERS);
  const others = rankMembers(self, names).filter((name) => !dialledReaders.includes(name));
  return [...dialledReaders, ...others.slice(0, DIALLED_PEERS - DIALLED_READERS)];
}

function createPeer(name: string, address: string): EntryPeerState {
  return {
    name,
    address,
    incarnation: '',
    link: undefined,
    lastReceivedAtMs: Number.NEGATIVE_INFINITY,
    configRevision: 0,
  };
}

/** The links of one entry to other entries. */
export class PeerLinks implements PeerLinkOwner {
  readonly #options: PeerLinksOptions;

  readonly #outbound = new Map<string, OutboundPeer>();

  readonly #inbound = new Set<InboundPeer>();

  /** Names of the peers that were seen in the registry. */
  readonly #registered = new Set<string>();

  /** Time since when a peer has had no link, by name. */
  readonly #unlinkedSinceMs = new Map<string, number>();

  readonly #heartbeatTimer: HeartbeatTimer;

  #isRunning = false;

  constructor(options: PeerLinksOptions) {
    this.#options = options;
    this.#heartbeatTimer = new HeartbeatTimer(
      options.timing.heartbeatMs,
      (nowMs, isSilenceChecked) => this.#onHeartbeatTick(nowMs, isSilenceChecked),
    );
    options.feed.onUpdate((update) =>
      this.#listExchanges().forEach((exchange) => exchange.announceUpdate(update)),
    );
  }

  start(): void {
    if (this.#isRunning) return;
    this.#isRunning = true;
    this.#heartbeatTimer.start();
    this.reconcile();
  }

  stop(): void {
    this.#isRunning = false;
    this.#heartbeatTimer.stop();
    this.#outbound.forEach((peer) => peer.close('stopping'));
    this.#outbound.clear();
    [...this.#inbound].forEach((peer) => peer.close('stopping'));
  }

  /** Accepts a link that another entry has opened; the handshake follows. */
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

  /** Updates the peers, and opens and closes links, to match the registry or the seeds. */
  reconcile(): void {
    if (!this.#isRunning) return;
    const entries = this.#options.readEntries();
    if (entries) this.#updatePeers(entries);
    const wanted = new Set(entries ? this.#chooseAddresses(entries) : this.#options.seedAddresses);
    [...this.#outbound.entries()].forEach(([address, peer]) => {
      if (wanted.has(address) || this.#isOnlyLink(peer)) return;
      peer.close('not needed');
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

  /**
   * Whether a peer may be removed: its registration was removed, or it was never registered and has
   * had no link for {@link UNREGISTERED_PEER_EXPIRY_MS}.
   */
  #isForgettable(name: string): boolean {
    const unlinkedMs = Date.now() - (this.#unlinkedSinceMs.get(name) ?? Date.now());
    return this.#registered.has(name) || unlinkedMs > UNREGISTERED_PEER_EXPIRY_MS;
  }

  #forget(name: string): void {
    this.#options.board.peers.delete(name);
    this.#registered.delete(name);
    this.#unlinkedSinceMs.delete(name);
  }

  /** Addresses of the peers to which this entry opens links. */
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

  /** Whether this is the only link to a known peer. */
  #isOnlyLink(outbound: OutboundPeer): boolean {
    const { exchange, peerName } = outbound;
    if (!exchange || !peerName) return false;
    const isInbound = [...this.#inbound].some((peer) => peer.peerName === peerName);
    return !isInbound && this.#options.board.peers.has(peerName);
  }

  #ensureOutboundPeer(address: string): void {
    if (this.#outbound.has(address)) return;
    const peer = new OutboundPeer(this.#options, this, address);
    this.#outbound.set(address, peer);
    peer.dial();
  }

  #listExchanges(): readonly PeerExchange[] {
    const outbound = [...this.#outbound.values()].map((peer) => peer.exchange);
    const inbound = [...this.#inbound].map((peer) => peer.exchange);
    return [...outbound, ...inbound].filter((exchange) => exchange !== undefined);
  }

  #findExchange(name: string): PeerExchange | undefined {
    const peers = [...this.#outbound.values(), ...this.#inbound];
    return peers.find((peer) => peer.peerName === name && peer.exchange)?.exchange;
  }

  /** Updates the peers that count towards the majority of the configuration lease. */
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

  #onHeartbeatTick(nowMs: number, isSilenceChecked: boolean): void {
    this.#outbound.forEach((peer) => peer.onHeartbeatTick(nowMs, isSilenceChecked));
    [...this.#inbound].forEach((peer) => peer.onHeartbeatTick(nowMs, isSilenceChecked));
    this.reconcile();
  }
}
