/** A dialled link to another entry. */
import { PeerRole, type Message, type MessageOf, type MessageType } from '../messages/message.js';
import type { Link } from '../ports/link.js';
import type { EntryPeerState } from '../state/entryBoard.js';
import { DialledLink } from './dialledLink.js';
import { PeerExchange, type PeerContext } from './peerExchange.js';

const PART = 'peer-link';

/** What the owner of the sessions decides about them. */
export interface PeerSessionOwner {
  /**
   * Finds the state of the peer that has answered at an address.
   *
   * @returns undefined where the peer is not wanted, such as this entry itself
   */
  findPeer(name: string, address: string): EntryPeerState | undefined;

  /** The links of a peer have changed. */
  noteChange(peer: string): void;
}

/** Keeps one link to another entry up. */
export class PeerSession extends DialledLink {
  readonly #peers: PeerContext;

  readonly #owner: PeerSessionOwner;

  readonly #address: string;

  #exchange: PeerExchange | undefined;

  #peerName: string | undefined;

  constructor(context: PeerContext, owner: PeerSessionOwner, address: string) {
    super(context, PART);
    this.#peers = context;
    this.#owner = owner;
    this.#address = address;
  }

  /** Name of the peer, once it has answered. */
  get peerName(): string | undefined {
    return this.#peerName;
  }

  /** The conversation, while the link is up. */
  get exchange(): PeerExchange | undefined {
    return this.link ? this.#exchange : undefined;
  }

  protected get echoTickMs(): number {
    return this.#exchange?.echoTickMs ?? 0;
  }

  get address(): string {
    return this.#address;
  }

  protected takeWelcome(link: Link, welcome: MessageOf<MessageType.Welcome>): string | undefined {
    if (welcome.role !== PeerRole.Entry) return `the other end is ${welcome.role}`;
    const peer = this.#owner.findPeer(welcome.name, this.#address);
    if (!peer) return `${welcome.name} is not wanted as a peer`;
    peer.incarnation = welcome.incarnation;
    peer.lastHeardAtMs = Date.now();
    this.#peerName = peer.name;
    this.#exchange = new PeerExchange(this.#peers, peer, link);
    this.#exchange.greet(welcome.configRevision, welcome.tickMs);
    return undefined;
  }

  protected noteOpen(): void {
    if (this.#peerName) this.#owner.noteChange(this.#peerName);
  }

  protected noteLost(): void {
    this.#exchange = undefined;
    if (this.#peerName) this.#owner.noteChange(this.#peerName);
  }

  protected takeMessage(_link: Link, message: Message): void {
    this.#exchange?.take(message);
  }

  protected override makeHeartbeat(nowMs: number): MessageOf<MessageType.Heartbeat> {
    this.#exchange?.noteTick(nowMs);
    return super.makeHeartbeat(nowMs);
  }
}
