/** Link that this entry opens to another entry. */
import { PeerRole, type Message, type MessageOf, type MessageType } from '../messages/message.js';
import type { Link } from '../ports/link.js';
import type { EntryPeerState } from '../state/entryBoard.js';
import { OutboundLink } from './outboundLink.js';
import { PeerExchange, type PeerContext } from './peerExchange.js';

const PART = 'peer-link';

/** Owner of the links to peers, which knows the state of each peer. */
export interface PeerLinkOwner {
  /**
   * Finds or creates the state of the peer that answered at an address.
   *
   * @returns undefined if the name is not accepted as a peer, such as that of this entry itself
   */
  findPeer(name: string, address: string): EntryPeerState | undefined;

  /** Called when the links of a peer have changed. */
  onPeerLinkChange(peer: string): void;
}

/** Maintains the link to one other entry. */
export class OutboundPeer extends OutboundLink {
  readonly #peerContext: PeerContext;

  readonly #owner: PeerLinkOwner;

  readonly #address: string;

  #exchange: PeerExchange | undefined;

  #peerName: string | undefined;

  constructor(context: PeerContext, owner: PeerLinkOwner, address: string) {
    super(context, PART);
    this.#peerContext = context;
    this.#owner = owner;
    this.#address = address;
  }

  /** Name of the peer; undefined until its first handshake. */
  get peerName(): string | undefined {
    return this.#peerName;
  }

  /** Message exchange with the peer; undefined while the link is down. */
  get exchange(): PeerExchange | undefined {
    return this.link ? this.#exchange : undefined;
  }

  protected get echoTickMs(): number {
    return this.#exchange?.echoTickMs ?? 0;
  }

  get address(): string {
    return this.#address;
  }

  protected handleWelcome(link: Link, welcome: MessageOf<MessageType.Welcome>): string | undefined {
    if (welcome.role !== PeerRole.Entry) return `the other end is ${welcome.role}`;
    const peer = this.#owner.findPeer(welcome.name, this.#address);
    if (!peer) return `${welcome.name} is not wanted as a peer`;
    peer.incarnation = welcome.incarnation;
    peer.lastReceivedAtMs = Date.now();
    this.#peerName = peer.name;
    this.#exchange = new PeerExchange(this.#peerContext, peer, link);
    this.#exchange.completeHandshake(welcome.configRevision, welcome.tickMs);
    return undefined;
  }

  protected onLinkOpen(): void {
    if (this.#peerName) this.#owner.onPeerLinkChange(this.#peerName);
  }

  protected onLinkLost(): void {
    this.#exchange = undefined;
    if (this.#peerName) this.#owner.onPeerLinkChange(this.#peerName);
  }

  protected handleMessage(_link: Link, message: Message): void {
    this.#exchange?.handleMessage(message);
  }

  protected override makeHeartbeat(nowMs: number): MessageOf<MessageType.Heartbeat> {
    this.#exchange?.recordTick(nowMs);
    return super.makeHeartbeat(nowMs);
  }
}
