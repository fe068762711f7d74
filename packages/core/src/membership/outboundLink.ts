/**
 * Life cycle of a link that this process opens: handshake, heartbeats, silence timeout and
 * reconnection.
 *
 * A link on which nothing is received is closed although it looks open, since a device on the
 * network path may have dropped the connection's state. Reconnection with backoff goes on until
 * this end is closed.
 */
import {
  MessageType,
  PeerRole,
  PROTOCOL_VERSION,
  type Message,
  type MessageOf,
} from '../messages/message.js';
import type { Timing } from '../model/timing.js';
import type { Link } from '../ports/link.js';
import type { LinkDialer } from '../ports/linkDialer.js';
import { LogLevel, type Log } from '../ports/log.js';
import type { Metrics } from '../ports/metrics.js';
import type { Random } from '../ports/random.js';
import type { EntryBoard } from '../state/entryBoard.js';
import { Backoff } from './backoff.js';
import type { ConfigLease } from './configLease.js';

/** Dependencies and settings that all links of a process share. */
export interface LinkContext {
  readonly board: EntryBoard;
  readonly lease: ConfigLease;
  readonly dialer: LinkDialer;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly timing: Timing;
  /** Shared token that authenticates links between processes of the system. */
  readonly token: string;
}

/** Maintains a link to one process and reconnects it when it is lost. */
export abstract class OutboundLink {
  protected readonly context: LinkContext;

  readonly #part: string;

  readonly #backoff: Backoff;

  #link: Link | undefined;

  #isHandshakeDone = false;

  #isClosed = false;

  #lastReceivedAtMs = 0;

  #redialTimer: NodeJS.Timeout | undefined;

  constructor(context: LinkContext, part: string) {
    const { reconnectMinMs, reconnectMaxMs } = context.timing;
    this.context = context;
    this.#part = part;
    this.#backoff = new Backoff(context.random, reconnectMinMs, reconnectMaxMs);
  }

  /** The link; undefined until the handshake is complete. */
  get link(): Link | undefined {
    return this.#isHandshakeDone ? this.#link : undefined;
  }

  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Last tick received from the other end. */
  protected abstract get echoTickMs(): number;

  protected abstract get address(): string;

  /** @returns why the handshake fails, or undefined if it is accepted */
  protected abstract handleWelcome(
    link: Link,
    welcome: MessageOf<MessageType.Welcome>,
  ): string | undefined;

  /** Handles a message received after the handshake. */
  protected abstract handleMessage(link: Link, message: Message): void;

  /** Called when a link with a completed handshake is lost. */
  protected abstract onLinkLost(detail: string): void;

  /** Opens the link now, unless there is one already. */
  dial(): void {
    if (this.#isClosed || this.#link) return;
    const link = this.context.dialer.dial(this.address);
    this.#link = link;
    this.#lastReceivedAtMs = Date.now();
    link.listen({
      onOpen: () => this.#sendHello(link),
      onMessage: (message) => this.#receive(link, message),
      onClose: (detail) => this.#dropLink(link, detail),
    });
  }

  /** Reconnects at once if the link is not up, as the address may have changed. */
  redial(): void {
    if (this.#isHandshakeDone) return;
    if (this.#link) this.#dropLink(this.#link, 'the address has changed');
    clearTimeout(this.#redialTimer);
    this.dial();
  }

  /** Closes the link and stops reconnecting. */
  close(detail: string): void {
    this.#isClosed = true;
    clearTimeout(this.#redialTimer);
    if (this.#link) this.#dropLink(this.#link, detail);
  }

  /**
   * Sends a heartbeat, or closes the link if nothing was received within the silence limit.
   *
   * @param isSilenceChecked false after a pause of this process, in which it received nothing
   */
  onHeartbeatTick(nowMs: number, isSilenceChecked: boolean): void {
    if (!this.#link) return;
    if (!isSilenceChecked) {
      this.#lastReceivedAtMs = nowMs;
    } else if (nowMs - this.#lastReceivedAtMs > this.context.timing.silenceLimitMs) {
      this.context.metrics.count('link.silent', { part: this.#part });
      this.#dropLink(this.#link, 'silent');
      return;
    }
    if (this.#isHandshakeDone) this.#link.send(this.makeHeartbeat(nowMs));
  }

  protected makeHeartbeat(nowMs: number): MessageOf<MessageType.Heartbeat> {
    const { board, lease } = this.context;
    return {
      type: MessageType.Heartbeat,
      configRevision: board.config.revision,
      tickMs: nowMs,
      echoTickMs: this.echoTickMs,
      isCurrent: board.isCurrent,
      isStopping: board.isStopping,
      confirmedAgeMs: lease.confirmedAgeMs,
    };
  }

  #sendHello(link: Link): void {
    const { board, token } = this.context;
    link.send({
      type: MessageType.Hello,
      protocol: PROTOCOL_VERSION,
      role: PeerRole.Entry,
      name: board.name,
      incarnation: board.incarnation,
      token,
      configRevision: board.config.revision,
    });
  }

  #receive(link: Link, message: Message): void {
    if (link !== this.#link) return;
    this.#lastReceivedAtMs = Date.now();
    if (this.#isHandshakeDone) {
      this.handleMessage(link, message);
      return;
    }
    const rejection =
      message.type === MessageType.Welcome
        ? this.handleWelcome(link, message)
        : `${message.type} before the greeting`;
    if (rejection === undefined) this.#completeHandshake();
    else this.#dropLink(link, rejection);
  }

  #completeHandshake(): void {
    this.#isHandshakeDone = true;
    this.#backoff.reset();
    this.onLinkOpen();
  }

  /** Called when the handshake is complete. */
  protected abstract onLinkOpen(): void;

  #dropLink(link: Link, detail: string): void {
    if (link !== this.#link) return;
    const wasWelcome = this.#isHandshakeDone;
    this.#link = undefined;
    this.#isHandshakeDone = false;
    link.close(detail);
    this.context.metrics.count('link.closed', { part: this.#part });
    if (wasWelcome) {
      const { address } = this;
      this.context.log.write(LogLevel.Warn, this.#part, 'Link to another process lost.', {
        address,
        detail,
      });
      this.onLinkLost(detail);
    }
    if (this.#isClosed) return;
    this.#redialTimer = setTimeout(() => this.dial(), this.#backoff.next());
  }
}
