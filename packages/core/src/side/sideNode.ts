/**
 * A side process: the only caller of its upstream, for the links of all entries.
 *
 * Connects the parts: sessions deliver messages, the attempt controller and the concurrency limiter
 * decide on them, and the report sender informs entries. It does no input or output of its own.
 */
import { MessageType, type Message } from '../messages/message.js';
import { RefusalReason } from '../model/reason.js';
import type { Link } from '../ports/link.js';
import { LogLevel } from '../ports/log.js';

import { AttemptController } from './attemptController.js';
import { ConfigSync } from './configSync.js';
import { DrainMonitor } from './drainMonitor.js';
import { EngineReportPoller } from './engineReportPoller.js';
import { ConcurrencyLimiter } from './concurrencyLimiter.js';
import { GroupOrderForwarder } from './groupOrderForwarder.js';
import { LinkSession } from './linkSession.js';
import { ReportSender } from './reportSender.js';
import { SessionOwner } from './sessionOwner.js';
import { readClockMs } from './sideClock.js';
import type { SideOptions } from './sideOptions.js';

/** Longest wait, in silence limits, for entries to acknowledge a planned stop. */
const STOP_CONFIRM_SILENCE_LIMITS = 2;

/** Part named in log lines. */
const LOG_PART = 'side';

/** Coordinates the parts of one side process. */
export class SideNode extends SessionOwner {
  readonly #options: SideOptions;

  readonly #limiter: ConcurrencyLimiter;

  readonly #attempts: AttemptController;

  readonly #reportPoller: EngineReportPoller;

  readonly #reportSender: ReportSender;

  readonly #configSync: ConfigSync;

  readonly #drainMonitor: DrainMonitor;

  readonly #orders: GroupOrderForwarder;

  readonly #sessions = new Set<LinkSession>();

  #timer: NodeJS.Timeout | undefined;

  #stoppingSinceMs: number | undefined;

  #onStopped: (() => void) | undefined;

  #stopped: Promise<void> | undefined;

  #isClosed = false;

  constructor(options: SideOptions) {
    super();
    this.#options = options;
    const broadcast = (message: Message): void => this.#broadcast(message);
    this.#limiter = new ConcurrencyLimiter(options, () => this.#reportSender.sendIfUrgent());
    this.#attempts = new AttemptController(options, this.#limiter);
    this.#reportPoller = new EngineReportPoller(options, this.#limiter, broadcast);
    this.#reportSender = new ReportSender(options, this.#limiter, broadcast);
    this.#configSync = new ConfigSync(options, () => this.#handleConfigChange());
    this.#drainMonitor = new DrainMonitor(options.board, () => this.#abandonRepeatable());
    this.#orders = new GroupOrderForwarder(options);
  }

  /** Starts polling the engine and reporting to entries. */
  start(): void {
    if (this.#timer || this.#isClosed) return;
    this.#reportPoller.start();
    this.#timer = setInterval(() => this.#step(), this.#options.timing.reportMs);
  }

  /** Opens a session on an incoming link; after a stop the link is closed at once. */
  attach(link: Link): void {
    if (this.#isClosed) {
      link.close('stopped');
      return;
    }
    const session = new LinkSession(link, this.#options, this);
    this.#sessions.add(session);
    session.open();
  }

  /** Refuses new work from now on, because the VM is about to leave. */
  markLeaving(): void {
    const { board } = this.#options;
    if (board.isLeaving) return;
    board.isLeaving = true;
    this.#reportSender.send();
  }

  /**
   * Performs a planned stop: entries are informed first, and attempts in flight complete.
   *
   * @returns resolves when no entry can need a result any more and the links are closed
   */
  stop(): Promise<void> {
    this.#stopped ??= new Promise((resolve) => {
      this.#onStopped = resolve;
      this.#beginStop();
    });
    return this.#stopped;
  }

  onAuthenticated(session: LinkSession): void {
    [...this.#sessions]
      .filter((other) => other !== session && other.name === session.name)
      .forEach((other) => other.close('replaced by a newer link'));
  }

  onReady(session: LinkSession): void {
    session.send(this.#reportSender.build());
  }

  onMessage(session: LinkSession, message: Message): void {
    this.#dispatch(session, message);
    this.#reportSender.sendIfUrgent();
  }

  onClosed(session: LinkSession): void {
    this.#sessions.delete(session);
    this.#attempts.detach(session);
  }

  #dispatch(session: LinkSession, message: Message): void {
    switch (message.type) {
      case MessageType.Submit:
        this.#attempts.submit(session, message);
        break;
      case MessageType.Inquire:
        this.#attempts.inquire(session, message);
        break;
      case MessageType.Cancel:
        this.#attempts.cancel(session, message);
        break;
      case MessageType.Credit:
        this.#attempts.grantCredit(session, message);
        break;
      case MessageType.ConfigObjects:
        this.#configSync.applyObjects(message);
        break;
      case MessageType.ConfigRequest:
        this.#configSync.sendChanges(session, message);
        break;
      case MessageType.ConfigOffer:
        this.#configSync.requestNewer(session, message.revision);
        break;
      case MessageType.Heartbeat:
        this.#configSync.requestNewer(session, message.configRevision);
        break;
      case MessageType.GroupOrder:
        this.#orders.handle(session, message);
        break;
      default:
        this.#options.metrics.count('side.unexpected_message', { type: message.type });
    }
  }

  #step(): void {
    const nowMs = readClockMs();
    this.#limiter.refresh(nowMs);
    this.#drainMonitor.step(nowMs);
    this.#attempts.prune(nowMs);
    this.#reportSender.sendIfChanged();
    if (this.#isStopComplete(nowMs)) this.#finishStop();
  }

  #broadcast(message: Message): void {
    this.#sessions.forEach((session) => {
      if (session.isReady) session.send(message);
    });
  }

  #handleConfigChange(): void {
    const nowMs = readClockMs();
    this.#limiter.refresh(nowMs);
    this.#drainMonitor.step(nowMs);
    this.#sessions.forEach((session) => {
      if (session.isReady) session.sendHeartbeat();
    });
  }

  #abandonRepeatable(): void {
    this.#options.metrics.count('side.domain_moved');
    this.#attempts.abandonRepeatable(RefusalReason.DomainDrained);
  }

  #beginStop(): void {
    this.#options.log.write(LogLevel.Info, LOG_PART, 'Planned stop of the side process begins.');
    this.#options.board.isStopping = true;
    this.#stoppingSinceMs = readClockMs();
    this.#reportSender.send();
    this.#sessions.forEach((session) => {
      if (session.isReady) session.sendHeartbeat();
    });
    this.start();
  }

  #isStopComplete(nowMs: number): boolean {
    const sinceMs = this.#stoppingSinceMs;
    if (sinceMs === undefined || !this.#attempts.isIdle(nowMs)) return false;
    const limitMs = this.#options.timing.silenceLimitMs * STOP_CONFIRM_SILENCE_LIMITS;
    if (nowMs - sinceMs > limitMs) return true;
    return [...this.#sessions].every(
      (session) => session.echoTickMs > sinceMs && session.bufferedBytes === 0,
    );
  }

  #finishStop(): void {
    this.#isClosed = true;
    this.#reportPoller.stop();
    clearInterval(this.#timer);
    [...this.#sessions].forEach((session) => session.close('stopped as planned'));
    this.#options.log.write(
      LogLevel.Info,
      LOG_PART,
      'Planned stop of the side process is complete.',
    );
    this.#onStopped?.();
  }
}
