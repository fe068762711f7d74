/** Accepted end of a link that another entry has opened. */
import {
  MessageType,
  PeerRole,
  PROTOCOL_VERSION,
  type Message,
  type MessageOf,
} from '../messages/message.js';
import type { Link } from '../ports/link.js';
import { PeerExchange, type PeerContext } from './peerExchange.js';
import type { PeerLinkOwner } from './outboundPeer.js';

const PART = 'peer-link';

/** Handles the handshake, heartbeats and messages of one link from another entry. */
export class InboundPeer {
  readonly #context: PeerContext;

  readonly #owner: PeerLinkOwner;

  readonly #link: Link;

  readonly #onClosed: (peer: InboundPeer) => void;

  #exchange: PeerExchange | undefined;

  #peerName: string | undefined;

  #lastReceivedAtMs = Date.now();

  #isClosed = false;

  constructor(
    context: PeerContext,
    owner: PeerLinkOwner,
    link: Link,
    onClosed: (peer: InboundPeer) => void,
  ) {
    this.#context = context;
    this.#owner = owner;
    this.#link = link;
    this.#onClosed = onClosed;
  }

  get peerName(): string | undefined {
    return this.#peerName;
  }

  get exchange(): PeerExchange | undefined {
    return this.#exchange;
  }

  /** Starts to receive messages on the link. */
  start(): void {
    this.#link.listen({
      onOpen: () => {},
      onMessage: (message) => this.#receive(message),
      onClose: () => this.#handleClose(),
    });
  }

  close(detail: string): void {
    this.#link.close(detail);
    this.#handleClose();
  }

  /**
   * Sends a heartbeat, or closes the link if nothing was received within the silence limit.
   *
   * @param isSilenceChecked false after a pause of this process, in which it received nothing
   */
  onHeartbeatTick(nowMs: number, isSilenceChecked: boolean): void {
    if (!isSilenceChecked) this.#lastReceivedAtMs = nowMs;
    if (nowMs - this.#lastReceivedAtMs > this.#context.timing.silenceLimitMs) {
      this.#context.metrics.count('link.silent', { part: PART });
      this.close('silent');
      return;
    }
    if (!this.#exchange) return;
    this.#exchange.recordTick(nowMs);
    this.#link.send(this.#makeHeartbeat(nowMs, this.#exchange.echoTickMs));
  }

  #receive(message: Message): void {
    if (this.#isClosed) return;
    this.#lastReceivedAtMs = Date.now();
    if (this.#exchange) {
      this.#exchange.handleMessage(message);
      return;
    }
    const rejection =
      message.type === MessageType.Hello
        ? this.#handleHello(message)
        : `${message.type} before the greeting`;
    if (rejection === undefined) return;
    this.#context.metrics.count('peer.greeting.refused');
    this.close(rejection);
  }

  /** @returns why the handshake fails, or undefined if it is accepted */
  #handleHello(hello: MessageOf<MessageType.Hello>): string | undefined {
    if (hello.protocol !== PROTOCOL_VERSION) return `protocol ${hello.protocol} is not spoken here`;
    if (hello.token !== this.#context.token) return 'wrong token';
    if (hello.role !== PeerRole.Entry) return `the other end is ${hello.role}`;
    const peer = this.#owner.findPeer(hello.name, '');
    if (!peer) return `${hello.name} is not wanted as a peer`;
    peer.incarnation = hello.incarnation;
    peer.lastReceivedAtMs = Date.now();
    this.#peerName = hello.name;
    this.#sendWelcome();
    this.#exchange = new PeerExchange(this.#context, peer, this.#link);
    this.#exchange.completeHandshake(hello.configRevision, 0);
    this.#owner.onPeerLinkChange(hello.name);
    return undefined;
  }

  #sendWelcome(): void {
    const { board } = this.#context;
    const tickMs = Date.now();
    this.#link.send({
      type: MessageType.Welcome,
      role: PeerRole.Entry,
      name: board.name,
      incarnation: board.incarnation,
      upstream: board.name,
      configRevision: board.config.revision,
      tickMs,
    });
  }

  #makeHeartbeat(nowMs: number, echoTickMs: number): MessageOf<MessageType.Heartbeat> {
    const { board, lease } = this.#context;
    return {
      type: MessageType.Heartbeat,
      configRevision: board.config.revision,
      tickMs: nowMs,
      echoTickMs,
      isCurrent: board.isCurrent,
      isStopping: board.isStopping,
      confirmedAgeMs: lease.confirmedAgeMs,
    };
  }

  #handleClose(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#onClosed(this);
    if (this.#peerName) this.#owner.onPeerLinkChange(this.#peerName);
  }
}
