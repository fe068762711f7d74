/** A link that another entry has dialled. */
import {
  MessageType,
  PeerRole,
  PROTOCOL_VERSION,
  type Message,
  type MessageOf,
} from '../messages/message.js';
import type { Link } from '../ports/link.js';
import { PeerExchange, type PeerContext } from './peerExchange.js';
import type { PeerSessionOwner } from './peerSession.js';

const PART = 'peer-link';

/** The answering end of a link between entries. */
export class InboundPeer {
  readonly #context: PeerContext;

  readonly #owner: PeerSessionOwner;

  readonly #link: Link;

  readonly #onClosed: (peer: InboundPeer) => void;

  #exchange: PeerExchange | undefined;

  #peerName: string | undefined;

  #lastHeardAtMs = Date.now();

  #isClosed = false;

  constructor(
    context: PeerContext,
    owner: PeerSessionOwner,
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

  /** Begins to listen on the link. */
  start(): void {
    this.#link.listen({
      onOpen: () => {},
      onMessage: (message) => this.#take(message),
      onClose: () => this.#noteClosed(),
    });
  }

  close(detail: string): void {
    this.#link.close(detail);
    this.#noteClosed();
  }

  /** Sends the heartbeat and gives a silent link up. */
  beat(nowMs: number, isSilenceJudged: boolean): void {
    if (!isSilenceJudged) this.#lastHeardAtMs = nowMs;
    if (nowMs - this.#lastHeardAtMs > this.#context.timing.silenceLimitMs) {
      this.#context.metrics.count('link.silent', { part: PART });
      this.close('silent');
      return;
    }
    if (!this.#exchange) return;
    this.#exchange.noteTick(nowMs);
    this.#link.send(this.#makeHeartbeat(nowMs, this.#exchange.echoTickMs));
  }

  #take(message: Message): void {
    if (this.#isClosed) return;
    this.#lastHeardAtMs = Date.now();
    if (this.#exchange) {
      this.#exchange.take(message);
      return;
    }
    const fault =
      message.type === MessageType.Hello
        ? this.#greet(message)
        : `${message.type} before the greeting`;
    if (fault === undefined) return;
    this.#context.metrics.count('peer.greeting.refused');
    this.close(fault);
  }

  /** @returns what is wrong with the greeting, or undefined */
  #greet(hello: MessageOf<MessageType.Hello>): string | undefined {
    if (hello.protocol !== PROTOCOL_VERSION) return `protocol ${hello.protocol} is not spoken here`;
    if (hello.token !== this.#context.token) return 'wrong token';
    if (hello.role !== PeerRole.Entry) return `the other end is ${hello.role}`;
    const peer = this.#owner.findPeer(hello.name, '');
    if (!peer) return `${hello.name} is not wanted as a peer`;
    peer.incarnation = hello.incarnation;
    peer.lastHeardAtMs = Date.now();
    this.#peerName = hello.name;
    this.#sendWelcome();
    this.#exchange = new PeerExchange(this.#context, peer, this.#link);
    this.#exchange.greet(hello.configRevision, 0);
    this.#owner.noteChange(hello.name);
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

  #noteClosed(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#onClosed(this);
    if (this.#peerName) this.#owner.noteChange(this.#peerName);
  }
}
