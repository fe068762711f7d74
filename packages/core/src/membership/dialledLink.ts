/**
 * The life of a link that this process dials: greeting, heartbeats, silence, and dialling again.
 *
 * A link that stays silent is closed although it looks open, since the path between the ends may
 * have lost track of it. Dialling goes on for as long as the session lives, with back-off.
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

/** What all sessions of a process share. */
export interface SessionContext {
  readonly board: EntryBoard;
  readonly lease: ConfigLease;
  readonly dialer: LinkDialer;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly timing: Timing;
  /** Token of the links between processes of the system. */
  readonly token: string;
}

/** A dialled link to one process, kept up. */
export abstract class DialledLink {
  protected readonly context: SessionContext;

  readonly #part: string;

  readonly #backoff: Backoff;

  #link: Link | undefined;

  #isWelcome = false;

  #isEnded = false;

  #lastHeardAtMs = 0;

  #timer: NodeJS.Timeout | undefined;

  constructor(context: SessionContext, part: string) {
    const { reconnectMinMs, reconnectMaxMs } = context.timing;
    this.context = context;
    this.#part = part;
    this.#backoff = new Backoff(context.random, reconnectMinMs, reconnectMaxMs);
  }

  /** The link, where the other end has welcomed this one. */
  get link(): Link | undefined {
    return this.#isWelcome ? this.#link : undefined;
  }

  get isEnded(): boolean {
    return this.#isEnded;
  }

  /** Last tick heard from the other end. */
  protected abstract get echoTickMs(): number;

  protected abstract get address(): string;

  /** @returns a sentence on what is wrong with the greeting, or undefined */
  protected abstract takeWelcome(
    link: Link,
    welcome: MessageOf<MessageType.Welcome>,
  ): string | undefined;

  /** Takes a message after the greeting. */
  protected abstract takeMessage(link: Link, message: Message): void;

  /** The link that had been welcomed is gone. */
  protected abstract noteLost(detail: string): void;

  /** Dials now. */
  dial(): void {
    if (this.#isEnded || this.#link) return;
    const link = this.context.dialer.dial(this.address);
    this.#link = link;
    this.#lastHeardAtMs = Date.now();
    link.listen({
      onOpen: () => this.#sendHello(link),
      onMessage: (message) => this.#take(link, message),
      onClose: (detail) => this.#drop(link, detail),
    });
  }

  /** Dials at once where the link is not up, as the address may have changed. */
  redial(): void {
    if (this.#isWelcome) return;
    if (this.#link) this.#drop(this.#link, 'the address has changed');
    clearTimeout(this.#timer);
    this.dial();
  }

  /** Ends the session for good. */
  end(detail: string): void {
    this.#isEnded = true;
    clearTimeout(this.#timer);
    if (this.#link) this.#drop(this.#link, detail);
  }

  /**
   * Sends the heartbeat and gives a silent link up.
   *
   * @param isSilenceJudged false after this process itself was paused
   */
  beat(nowMs: number, isSilenceJudged: boolean): void {
    if (!this.#link) return;
    if (!isSilenceJudged) {
      this.#lastHeardAtMs = nowMs;
    } else if (nowMs - this.#lastHeardAtMs > this.context.timing.silenceLimitMs) {
      this.context.metrics.count('link.silent', { part: this.#part });
      this.#drop(this.#link, 'silent');
      return;
    }
    if (this.#isWelcome) this.#link.send(this.makeHeartbeat(nowMs));
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

  #take(link: Link, message: Message): void {
    if (link !== this.#link) return;
    this.#lastHeardAtMs = Date.now();
    if (this.#isWelcome) {
      this.takeMessage(link, message);
      return;
    }
    const fault =
      message.type === MessageType.Welcome
        ? this.takeWelcome(link, message)
        : `${message.type} before the greeting`;
    if (fault === undefined) this.#noteWelcome();
    else this.#drop(link, fault);
  }

  #noteWelcome(): void {
    this.#isWelcome = true;
    this.#backoff.reset();
    this.noteOpen();
  }

  /** The greeting is done. */
  protected abstract noteOpen(): void;

  #drop(link: Link, detail: string): void {
    if (link !== this.#link) return;
    const wasWelcome = this.#isWelcome;
    this.#link = undefined;
    this.#isWelcome = false;
    link.close(detail);
    this.context.metrics.count('link.closed', { part: this.#part });
    if (wasWelcome) {
      const { address } = this;
      this.context.log.write(LogLevel.Warn, this.#part, 'Lost a link.', { address, detail });
      this.noteLost(detail);
    }
    if (this.#isEnded) return;
    this.#timer = setTimeout(() => this.dial(), this.#backoff.next());
  }
}
