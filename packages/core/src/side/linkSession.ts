/**
 * One incoming link: authentication, heartbeats and the silence timeout.
 *
 * No message is accepted before a `Hello` with the right protocol version and token, nor after the
 * link is closed.
 */
import {
  MessageType,
  PROTOCOL_VERSION,
  PeerRole,
  type Message,
  type MessageOf,
} from '../messages/message.js';
import { LogLevel } from '../ports/log.js';
import type { Link } from '../ports/link.js';

import type { SessionOwner } from './sessionOwner.js';
import { readClockMs } from './sideClock.js';
import type { SideOptions } from './sideOptions.js';

/**
 * If this process's own heartbeat is later than this number of intervals, the process was paused,
 * and the silence of the peer in that time is ignored.
 */
const PAUSE_HEARTBEATS = 2;

/** Part named in log lines. */
const LOG_PART = 'side-link';

/** Session on an incoming link from one entry. */
export class LinkSession {
  readonly #link: Link;

  readonly #options: SideOptions;

  readonly #owner: SessionOwner;

  readonly #heartbeatTimer: NodeJS.Timeout;

  #hello: MessageOf<MessageType.Hello> | undefined;

  #lastReceivedAtMs = readClockMs();

  #lastHeartbeatAtMs = readClockMs();

  #peerTickMs = 0;

  #echoTickMs = 0;

  #isClosed = false;

  constructor(link: Link, options: SideOptions, owner: SessionOwner) {
    this.#link = link;
    this.#options = options;
    this.#owner = owner;
    this.#heartbeatTimer = setInterval(() => this.#runHeartbeat(), options.timing.heartbeatMs);
  }

  /** Name of the entry; empty before its `Hello`. */
  get name(): string {
    return this.#hello?.name ?? '';
  }

  /** Whether the entry is authenticated and the link is open. */
  get isReady(): boolean {
    return this.#hello !== undefined && !this.#isClosed;
  }

  /** Latest tick of this process's clock that the entry has echoed. */
  get echoTickMs(): number {
    return this.#echoTickMs;
  }

  /** Bytes accepted by the link and not yet sent. */
  get bufferedBytes(): number {
    return this.#link.bufferedBytes;
  }

  /** Starts to receive messages. */
  open(): void {
    this.#link.listen({
      onOpen: () => {},
      onMessage: (message) => this.#handleMessage(message),
      onClose: (detail) => this.close(detail),
    });
  }

  /** Sends a message; it is dropped if the session is closed. */
  send(message: Message): void {
    if (!this.#isClosed) this.#link.send(message);
  }

  sendHeartbeat(): void {
    const { board } = this.#options;
    this.send({
      type: MessageType.Heartbeat,
      configRevision: board.config.revision,
      tickMs: readClockMs(),
      echoTickMs: this.#peerTickMs,
      isCurrent: true,
      isStopping: board.isStopping,
    });
  }

  close(detail: string): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    clearInterval(this.#heartbeatTimer);
    this.#link.close(detail);
    this.#options.log.write(LogLevel.Info, LOG_PART, 'Link from an entry closed.', {
      entry: this.name,
      detail,
    });
    this.#owner.onClosed(this);
  }

  #handleMessage(message: Message): void {
    if (this.#isClosed) return;
    this.#lastReceivedAtMs = readClockMs();
    if (!this.#hello) {
      this.#handleHello(message);
      return;
    }
    if (message.type === MessageType.Heartbeat) {
      this.#peerTickMs = message.tickMs;
      this.#echoTickMs = Math.max(this.#echoTickMs, message.echoTickMs);
    }
    this.#owner.onMessage(this, message);
  }

  #handleHello(message: Message): void {
    if (message.type !== MessageType.Hello) {
      this.#reject('no-greeting');
    } else if (message.protocol !== PROTOCOL_VERSION) {
      this.#reject('other-protocol');
    } else if (message.token !== this.#options.linkToken) {
      this.#reject('wrong-token');
    } else if (message.role !== PeerRole.Entry) {
      this.#reject('not-an-entry');
    } else {
      this.#hello = message;
      this.#owner.onAuthenticated(this);
      this.#sendWelcome();
      this.#owner.onReady(this);
    }
  }

  #reject(cause: string): void {
    this.#options.metrics.count('side.link_rejected', { cause });
    this.close(cause);
  }

  #sendWelcome(): void {
    const { board } = this.#options;
    this.send({
      type: MessageType.Welcome,
      role: PeerRole.Side,
      name: board.upstream,
      incarnation: board.incarnation,
      upstream: board.upstream,
      configRevision: board.config.revision,
      tickMs: readClockMs(),
    });
  }

  #runHeartbeat(): void {
    const nowMs = readClockMs();
    const { heartbeatMs, silenceLimitMs } = this.#options.timing;
    const wasPaused = nowMs - this.#lastHeartbeatAtMs > PAUSE_HEARTBEATS * heartbeatMs;
    if (wasPaused) this.#lastReceivedAtMs = nowMs;
    this.#lastHeartbeatAtMs = nowMs;
    if (nowMs - this.#lastReceivedAtMs > silenceLimitMs) this.#reject('silent');
    else if (this.isReady) this.sendHeartbeat();
  }
}
