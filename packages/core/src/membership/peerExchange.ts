/**
 * What two entries tell each other on one link, whoever dialled it: heartbeats that prove how
 * recent their configurations are, and the configuration itself.
 */
import { ConfigSource, type ConfigFeed, type ConfigRise } from '../config/configFeed.js';
import { MessageType, type Message, type MessageOf } from '../messages/message.js';
import type { Link } from '../ports/link.js';
import type { EntryPeerState } from '../state/entryBoard.js';
import type { ConfigLease } from './configLease.js';
import type { SessionContext } from './dialledLink.js';
import type { ShareListener } from './shareListener.js';
import { TickBook } from './tickBook.js';

export interface PeerContext extends SessionContext {
  readonly feed: ConfigFeed;
  readonly shares: ShareListener;
}

/** One link with one other entry, after the greeting. */
export class PeerExchange {
  readonly #context: PeerContext;

  readonly #peer: EntryPeerState;

  readonly #link: Link;

  readonly #ticks: TickBook;

  #echoTickMs = 0;

  constructor(context: PeerContext, peer: EntryPeerState, link: Link) {
    this.#context = context;
    this.#peer = peer;
    this.#link = link;
    this.#ticks = new TickBook(context.timing.configLeaseMs);
  }

  get link(): Link {
    return this.#link;
  }

  get echoTickMs(): number {
    return this.#echoTickMs;
  }

  /** Takes in the revision and tick of the greeting. */
  greet(configRevision: number, tickMs: number): void {
    this.#echoTickMs = tickMs;
    this.#noteRevision(configRevision);
  }

  /** Notes that a heartbeat with this tick is being sent. */
  noteTick(tickMs: number): void {
    this.#ticks.note(tickMs);
  }

  /**
   * Tells the other end of a rise. Objects that are ahead of the revision, such as an order given
   * here, are sent themselves: the revision that the other end could ask for does not cover them.
   */
  announce(rise: ConfigRise): void {
    if (rise.revision > rise.fromRevision) this.#offer();
    else this.#sendAhead(rise.keys);
  }

  #sendAhead(keys: readonly string[]): void {
    const { config } = this.#context.board;
    const objects = config
      .listChanges(config.revision)
      .filter(({ key }) => keys.includes(key))
      .map(({ key, version, value }) => ({ key, version, value }));
    if (objects.length === 0) return;
    this.#link.send({ type: MessageType.ConfigObjects, revision: 0, isFull: false, objects });
  }

  #offer(): void {
    const { revision } = this.#context.board.config;
    if (this.#peer.configRevision >= revision) return;
    this.#link.send({ type: MessageType.ConfigOffer, revision });
  }

  take(message: Message): void {
    this.#peer.lastHeardAtMs = Date.now();
    switch (message.type) {
      case MessageType.Heartbeat:
        this.#takeHeartbeat(message);
        break;
      case MessageType.ConfigOffer:
        this.#noteRevision(message.revision);
        break;
      case MessageType.ConfigRequest:
        this.#answer(message.afterRevision);
        break;
      case MessageType.ConfigObjects:
        this.#takeObjects(message);
        break;
      case MessageType.ShareRequest:
      case MessageType.ShareGrant:
        this.#context.shares.onShareMessage(this.#peer.name, this.#link, message);
        break;
      default:
        this.#context.metrics.count('peer.message.unexpected', { type: message.type });
    }
  }

  #takeHeartbeat(heartbeat: MessageOf<MessageType.Heartbeat>): void {
    this.#echoTickMs = Math.max(this.#echoTickMs, heartbeat.tickMs);
    this.#peer.isStopping = heartbeat.isStopping;
    this.#noteRevision(heartbeat.configRevision);
    const until = this.#ticks.readEnd(heartbeat.echoTickMs);
    if (!until) return;
    const { configRevision, confirmedAgeMs } = heartbeat;
    const peer = this.#peer.name;
    this.#lease.takePeerProof({ peer, configRevision, confirmedAgeMs, until });
  }

  #takeObjects(message: MessageOf<MessageType.ConfigObjects>): void {
    const { objects, revision, isFull } = message;
    this.#peer.configRevision = Math.max(this.#peer.configRevision, revision);
    this.#context.feed.take(ConfigSource.Peer, objects, revision, isFull);
  }

  get #lease(): ConfigLease {
    return this.#context.lease;
  }

  #noteRevision(revision: number): void {
    this.#peer.configRevision = revision;
    const afterRevision = this.#context.board.config.revision;
    if (revision <= afterRevision) return;
    this.#link.send({ type: MessageType.ConfigRequest, afterRevision });
  }

  #answer(afterRevision: number): void {
    const { isFull, changes } = this.#context.feed.read(afterRevision);
    const objects = changes.map(({ key, version, value }) => ({ key, version, value }));
    const { revision } = this.#context.board.config;
    this.#link.send({ type: MessageType.ConfigObjects, revision, isFull, objects });
  }
}
