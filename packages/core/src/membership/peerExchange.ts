/**
 * Messages between two entries on one link, regardless of which end opened it: heartbeats that
 * prove how recent the configuration of each is, and the configuration itself.
 */
import { ConfigSource, type ConfigFeed, type ConfigUpdate } from '../config/configFeed.js';
import { MessageType, type Message, type MessageOf } from '../messages/message.js';
import type { Link } from '../ports/link.js';
import type { EntryPeerState } from '../state/entryBoard.js';
import type { ConfigLease } from './configLease.js';
import type { LinkContext } from './outboundLink.js';
import type { ShareListener } from './shareListener.js';
import { SentTicks } from './sentTicks.js';

export interface PeerContext extends LinkContext {
  readonly feed: ConfigFeed;
  readonly shares: ShareListener;
}

/** Sends and handles messages on one link to another entry, after the handshake. */
export class PeerExchange {
  readonly #context: PeerContext;

  readonly #peer: EntryPeerState;

  readonly #link: Link;

  readonly #sentTicks: SentTicks;

  #echoTickMs = 0;

  constructor(context: PeerContext, peer: EntryPeerState, link: Link) {
    this.#context = context;
    this.#peer = peer;
    this.#link = link;
    this.#sentTicks = new SentTicks(context.timing.configLeaseMs);
  }

  get link(): Link {
    return this.#link;
  }

  get echoTickMs(): number {
    return this.#echoTickMs;
  }

  /** Records the revision and tick that the peer sent in the handshake. */
  completeHandshake(configRevision: number, tickMs: number): void {
    this.#echoTickMs = tickMs;
    this.#updatePeerRevision(configRevision);
  }

  /** Records that a heartbeat with this tick is being sent. */
  recordTick(tickMs: number): void {
    this.#sentTicks.record(tickMs);
  }

  /**
   * Announces a configuration update to the peer. Objects newer than the revision in force, such
   * as the result of an order given here, are sent at once: the peer could not request them by
   * revision, since no revision covers them yet.
   */
  announceUpdate(update: ConfigUpdate): void {
    if (update.revision > update.fromRevision) this.#sendOffer();
    else this.#sendNewerObjects(update.keys);
  }

  #sendNewerObjects(keys: readonly string[]): void {
    const { config } = this.#context.board;
    const objects = config
      .listChanges(config.revision)
      .filter(({ key }) => keys.includes(key))
      .map(({ key, version, value }) => ({ key, version, value }));
    if (objects.length === 0) return;
    this.#link.send({ type: MessageType.ConfigObjects, revision: 0, isFull: false, objects });
  }

  #sendOffer(): void {
    const { revision } = this.#context.board.config;
    if (this.#peer.configRevision >= revision) return;
    this.#link.send({ type: MessageType.ConfigOffer, revision });
  }

  handleMessage(message: Message): void {
    this.#peer.lastReceivedAtMs = Date.now();
    switch (message.type) {
      case MessageType.Heartbeat:
        this.#handleHeartbeat(message);
        break;
      case MessageType.ConfigOffer:
        this.#updatePeerRevision(message.revision);
        break;
      case MessageType.ConfigRequest:
        this.#sendChanges(message.afterRevision);
        break;
      case MessageType.ConfigObjects:
        this.#handleObjects(message);
        break;
      case MessageType.ShareRequest:
      case MessageType.ShareGrant:
        this.#context.shares.onShareMessage(this.#peer.name, this.#link, message);
        break;
      default:
        this.#context.metrics.count('peer.message.unexpected', { type: message.type });
    }
  }

  #handleHeartbeat(heartbeat: MessageOf<MessageType.Heartbeat>): void {
    this.#echoTickMs = Math.max(this.#echoTickMs, heartbeat.tickMs);
    this.#peer.isStopping = heartbeat.isStopping;
    this.#updatePeerRevision(heartbeat.configRevision);
    const leaseEnd = this.#sentTicks.findLeaseEnd(heartbeat.echoTickMs);
    if (!leaseEnd) return;
    const { configRevision, confirmedAgeMs } = heartbeat;
    const peer = this.#peer.name;
    this.#lease.addPeerProof({ peer, configRevision, confirmedAgeMs, leaseEnd });
  }

  #handleObjects(message: MessageOf<MessageType.ConfigObjects>): void {
    const { objects, revision, isFull } = message;
    this.#peer.configRevision = Math.max(this.#peer.configRevision, revision);
    this.#context.feed.apply(ConfigSource.Peer, objects, revision, isFull);
  }

  get #lease(): ConfigLease {
    return this.#context.lease;
  }

  #updatePeerRevision(revision: number): void {
    this.#peer.configRevision = revision;
    const afterRevision = this.#context.board.config.revision;
    if (revision <= afterRevision) return;
    this.#link.send({ type: MessageType.ConfigRequest, afterRevision });
  }

  #sendChanges(afterRevision: number): void {
    const { isFull, changes } = this.#context.feed.read(afterRevision);
    const objects = changes.map(({ key, version, value }) => ({ key, version, value }));
    const { revision } = this.#context.board.config;
    this.#link.send({ type: MessageType.ConfigObjects, revision, isFull, objects });
  }
}
