/**
 * Exchanges the in-flight counts of each upstream with all other entries.
 *
 * Prevents several entries from filling the same upstreams at once: the load that an upstream
 * reports with its responses is a second old. Of two entries the one with the lower name dials.
 * Both send on the same link: changes after a short delay, and full counts periodically. The counts
 * of a peer that has timed out are dropped.
 */
import { MessageType, type Message, type MessageOf, type PromptNews } from '../messages/message.js';
import type { LimitNews, PermitAsk, PermitGrant } from '../messages/permitMessage.js';
import type { Link } from '../ports/link.js';
import type { LinkDialer } from '../ports/linkDialer.js';
import { LogLevel, type Log } from '../ports/log.js';
import type { Metrics } from '../ports/metrics.js';

import type { DirectUpstream } from './directUpstream.js';
import { LeavingSource, type FleetBoard } from './fleetBoard.js';
import { formatIncarnation } from './incarnation.js';
import { BreakerChangeSource } from './poolBreaker.js';

const LOG_PART = 'peers';

/**
 * Time in which changes are batched before they are sent, in milliseconds; a few requests at full
 * load.
 */
const BATCH_MS = 20;

/** Interval of full counts, of checks for timed-out peers, and of redialling, in milliseconds. */
const HEARTBEAT_MS = 500;

/** Time without a message after which a peer's counts are dropped, in milliseconds. */
const PEER_TIMEOUT_MS = 1_600;

/** Address of another entry. */
export interface PeerAddress {
  readonly name: string;
  /** IP address and port. */
  readonly address: string;
}

export interface LoadExchangeOptions {
  readonly board: FleetBoard;
  readonly dialer: LinkDialer;
  readonly log: Log;
  readonly metrics: Metrics;
}

interface Peer {
  readonly link: Link;
  /** Undefined on an accepted link until its first message. */
  name: string | undefined;
  lastMessageAtMs: number;
}

/** Optional parts of a message with counts. */
interface CountsExtras {
  /** Whether upstreams that are not listed have no requests in flight. */
  readonly isFull: boolean;
  readonly recoveredPool?: string;
  /** Incarnations that have just started to leave; with full counts, all that are leaving. */
  readonly leaving?: readonly string[];
  readonly prompts?: readonly PromptNews[];
  readonly limits?: readonly LimitNews[];
  readonly permitAsk?: PermitAsk;
  readonly permitGrant?: PermitGrant;
}

function listInFlight(upstreams: readonly DirectUpstream[]): Record<string, number> {
  return Object.fromEntries(upstreams.map(({ id, inFlight }) => [id, inFlight]));
}

/** Exchange of in-flight counts with all other entries. */
export class LoadExchange {
  readonly #options: LoadExchangeOptions;

  readonly #peers = new Set<Peer>();

  #addresses: readonly PeerAddress[] = [];

  readonly #changed = new Set<DirectUpstream>();

  /** Latest changes of request limits, by incarnation. */
  readonly #changedLimits = new Map<string, LimitNews>();

  #sendTimer: NodeJS.Timeout | undefined;

  #heartbeatTimer: NodeJS.Timeout | undefined;

  constructor(options: LoadExchangeOptions) {
    this.#options = options;
    options.board.onInFlightChange((upstream) => this.#noteChange(upstream));
    options.board.onLeaving((upstream, source) => {
      if (source !== LeavingSource.Upstream) return;
      const leaving = [formatIncarnation(upstream.entry)];
      this.#peers.forEach(({ link }) => this.#send(link, {}, { isFull: false, leaving }));
    });
    options.board.quarantine.onNews((news) => {
      this.#peers.forEach(({ link }) => this.#send(link, {}, { isFull: false, prompts: [news] }));
    });
    options.board.limits.onNews((news) => {
      this.#changedLimits.set(news.incarnation, news);
      this.#scheduleChanges();
    });
    options.board.peerStates.forEach((state) =>
      state.setChangeListener(() => this.#scheduleChanges()),
    );
    options.board.permitMessages.setSender({
      sendAsk: (entry, permitAsk) => this.#sendTo(entry, { isFull: false, permitAsk }),
      sendGrant: (entry, permitGrant) => this.#sendTo(entry, { isFull: false, permitGrant }),
    });
    options.board.onRecovery((recoveredPool) => {
      this.#peers.forEach(({ link }) => this.#send(link, {}, { isFull: false, recoveredPool }));
    });
  }

  start(): void {
    this.#heartbeatTimer = setInterval(() => this.#heartbeat(), HEARTBEAT_MS);
  }

  stop(): void {
    clearInterval(this.#heartbeatTimer);
    clearTimeout(this.#sendTimer);
    [...this.#peers].forEach((peer) => this.#removePeer(peer, 'this entry stops'));
  }

  /** Replaces the list of all entries, including this one. */
  setAddresses(addresses: readonly PeerAddress[]): void {
    this.#addresses = addresses;
    this.#dialMissing();
  }

  /** Sorted names of all entries, including this one. */
  listEntries(): readonly string[] {
    const names = this.#addresses.map(({ name }) => name);
    return [...new Set([...names, this.#options.board.name])].sort();
  }

  /** Accepts a link that another entry has dialled. */
  attach(link: Link): void {
    this.#addPeer(link, undefined);
  }

  #heartbeat(): void {
    const nowMs = performance.now();
    [...this.#peers]
      .filter(({ lastMessageAtMs }) => nowMs - lastMessageAtMs > PEER_TIMEOUT_MS)
      .forEach((peer) => this.#removePeer(peer, 'silent'));
    this.#dialMissing();
    const counts = listInFlight(
      this.#options.board.upstreams.filter(({ inFlight }) => inFlight > 0),
    );
    this.#peers.forEach(({ link }) => this.#send(link, counts, { isFull: true }));
  }

  #dialMissing(): void {
    const { board, dialer } = this.#options;
    const known = new Set([...this.#peers].map(({ name }) => name));
    this.#addresses
      .filter(({ name }) => name > board.name && !known.has(name))
      .forEach(({ name, address }) => this.#addPeer(dialer.dial(address), name));
  }

  #addPeer(link: Link, name: string | undefined): void {
    const peer: Peer = { link, name, lastMessageAtMs: performance.now() };
    this.#peers.add(peer);
    const sendFullCounts = () => {
      const { upstreams, quarantine, limits } = this.#options.board;
      const extras = { prompts: quarantine.listNews(), limits: limits.listNews() };
      this.#send(link, listInFlight(upstreams), { isFull: true, ...extras });
    };
    link.listen({
      onOpen: sendFullCounts,
      onMessage: (message) => this.#handleMessage(peer, message),
      onClose: (detail) => this.#removePeer(peer, detail),
    });
    if (link.isOpen) sendFullCounts();
  }

  #handleMessage(peer: Peer, message: Message): void {
    if (message.type !== MessageType.UpstreamCounts || !this.#peers.has(peer)) return;
    const { board, log } = this.#options;
    const { entry, isFull, counts } = message;
    const isNew = !board.livePeers.has(entry);
    Object.assign(peer, { name: entry, lastMessageAtMs: performance.now() });
    if (isNew) {
      board.livePeers = new Set([...board.livePeers, entry]);
      log.write(LogLevel.Info, LOG_PART, 'Peer connected.', { entry });
    }
    this.#noteStopping(entry, message.isStopping ?? false);
    if (isFull) board.upstreams.forEach((upstream) => upstream.notePeerInFlight(entry, 0));
    Object.entries(counts).forEach(([id, count]) =>
      board.findUpstream(id)?.notePeerInFlight(entry, count),
    );
    const nowMs = performance.now();
    Object.entries(message.paces ?? {}).forEach(([id, slowdown]) => {
      board.findUpstream(id)?.noteSlowdown(slowdown, nowMs);
    });
    message.leaving?.forEach((incarnation) =>
      board.noteLeavingIncarnation(incarnation, LeavingSource.Peer),
    );
    message.prompts?.forEach((news) => board.quarantine.applyNews(news));
    board.peerStates.forEach((state) => state.apply(message, nowMs));
    this.#applyLimits(message);
    const { recoveredPool } = message;
    if (recoveredPool) board.getBreaker(recoveredPool).noteSuccess(BreakerChangeSource.Peer);
  }

  #applyLimits({ entry, limits, permitAsk, permitGrant }: MessageOf<MessageType.UpstreamCounts>) {
    const { board } = this.#options;
    if (limits && !board.permitPeers.has(entry)) {
      board.permitPeers = new Set([...board.permitPeers, entry]);
    }
    limits?.forEach((news) => board.limits.applyNews(news));
    if (permitAsk) board.permitMessages.receiveAsk(entry, permitAsk);
    if (permitGrant) board.permitMessages.receiveGrant(entry, permitGrant);
  }

  #noteStopping(entry: string, isStopping: boolean): void {
    const { board } = this.#options;
    if (board.stoppingPeers.has(entry) === isStopping) return;
    const others = [...board.stoppingPeers].filter((each) => each !== entry);
    board.stoppingPeers = new Set(isStopping ? [...others, entry] : others);
  }

  #removePeer(peer: Peer, detail: string): void {
    if (!this.#peers.delete(peer)) return;
    peer.link.close(detail);
    const { board, log, metrics } = this.#options;
    const { name } = peer;
    const hasOtherLink = [...this.#peers].some((other) => other.name === name);
    if (name === undefined || hasOtherLink || !board.livePeers.has(name)) return;
    board.livePeers = new Set([...board.livePeers].filter((entry) => entry !== name));
    board.permitPeers = new Set([...board.permitPeers].filter((entry) => entry !== name));
    board.permitMessages.notePeerLost(name);
    board.upstreams.forEach((upstream) => upstream.notePeerInFlight(name, 0));
    board.peerStates.forEach((state) => state.dropPeer(name));
    metrics.count('peers.lost');
    log.write(LogLevel.Info, LOG_PART, 'Peer lost.', { entry: name, detail });
  }

  #noteChange(upstream: DirectUpstream): void {
    this.#changed.add(upstream);
    this.#scheduleChanges();
  }

  #scheduleChanges(): void {
    this.#sendTimer ??= setTimeout(() => this.#sendChanges(), BATCH_MS);
  }

  #sendChanges(): void {
    this.#sendTimer = undefined;
    const counts = listInFlight([...this.#changed]);
    const limits = [...this.#changedLimits.values()];
    this.#changed.clear();
    this.#changedLimits.clear();
    const nowMs = performance.now();
    const fields: Omit<CountsExtras, 'isFull'> = Object.assign(
      {},
      ...this.#options.board.peerStates.map((state) => state.takeChanges(nowMs)),
    );
    // A state may have noted a change that is too small to be told.
    if (![counts, limits, fields].some((part) => Object.keys(part).length > 0)) return;
    const extras = { isFull: false, ...(limits.length > 0 && { limits }), ...fields };
    this.#peers.forEach(({ link }) => this.#send(link, counts, extras));
  }

  #send(link: Link, counts: Record<string, number>, extras: CountsExtras): void {
    const { name: entry, isStopping } = this.#options.board;
    const type = MessageType.UpstreamCounts as const;
    const fullExtras = extras.isFull ? this.#readFullExtras() : {};
    link.send({ type, entry, counts, isStopping, ...fullExtras, ...extras });
  }

  /** Sends to one entry, if there is a link to it. */
  #sendTo(entry: string, extras: CountsExtras): void {
    const peer = [...this.#peers].find(({ name, link }) => name === entry && link.isOpen);
    if (peer) this.#send(peer.link, {}, extras);
  }

  /** Parts that are sent with full counts only. */
  #readFullExtras() {
    const { measuredSlowdowns, selfReportedLeaving, peerStates } = this.#options.board;
    const nowMs = performance.now();
    return {
      ...Object.assign({}, ...peerStates.map((state) => state.readFull(nowMs))),
      ...(measuredSlowdowns.size > 0 && { paces: Object.fromEntries(measuredSlowdowns) }),
      ...(selfReportedLeaving.length > 0 && { leaving: selfReportedLeaving }),
    };
  }
}
