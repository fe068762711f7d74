/**
 * In-memory implementation of a link between two processes.
 *
 * Messages arrive in order after the network delay, measured on the runtime's clock. Each message
 * is deep-copied and validated, so that the two ends never share an object.
 */
import { parseMessage, type Message } from '@radishbay/core/messages/message.js';
import { Link, type LinkHandlers } from '@radishbay/core/ports/link.js';

import { LinkFaultKind, type LinkFault } from './linkFaults.js';

/** Chooses the fault, if any, for a message that one end sends. */
export type FaultDecider = (message: Message) => LinkFault;

/** Options of one end of a link. */
export interface MemoryLinkOptions {
  /** One-way delay of each message. */
  readonly delayMs: number;
  readonly decide: FaultDecider;
}

/** A message or close on its way to the other end. */
interface PendingDelivery {
  readonly dueAtMs: number;
  readonly deliver: () => void;
}

function copyValue(value: unknown): unknown {
  if (value instanceof Uint8Array) return Uint8Array.from(value);
  if (Array.isArray(value)) return value.map(copyValue);
  if (typeof value !== 'object' || value === null) return value;
  return Object.fromEntries(Object.entries(value).map(([key, field]) => [key, copyValue(field)]));
}

function copyMessage(message: Message): Message {
  const parsed = parseMessage(copyValue(message));
  if (!parsed.ok) throw new Error(`message to send is invalid: ${parsed.val}`);
  return parsed.val;
}

/** One end of an in-memory link. */
export class MemoryLink extends Link {
  readonly #options: MemoryLinkOptions;

  readonly #pendingDeliveries: PendingDelivery[] = [];

  /** Always 0: messages in transit are held by the network, not buffered by the sender. */
  readonly #bufferedBytes = 0;

  #peer: MemoryLink | undefined;

  #handlers: LinkHandlers | undefined;

  #unhandledMessages: Message[] = [];

  #isOpen = false;

  #isClosed = false;

  #isSilent = false;

  #closeDetail = '';

  #isTimerSet = false;

  constructor(options: MemoryLinkOptions) {
    super();
    this.#options = options;
  }

  /** Sets the other end. Each end is then opened with {@link open}. */
  join(peer: MemoryLink): void {
    this.#peer = peer;
  }

  get isOpen(): boolean {
    return this.#isOpen;
  }

  get bufferedBytes(): number {
    return this.#bufferedBytes;
  }

  /** Whether this end has closed. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Whether the network path was lost without a close. */
  get isSilent(): boolean {
    return this.#isSilent;
  }

  /** Opens this end; no effect once it is open or closed. */
  open(): void {
    if (this.#isClosed || this.#isOpen) return;
    this.#isOpen = true;
    this.#handlers?.onOpen();
  }

  send(message: Message): void {
    if (!this.#isOpen) return;
    const copy = copyMessage(message);
    const fault = this.#options.decide(copy);
    if (!this.#isSilent) this.#applyFault(fault, copy);
  }

  close(detail: string): void {
    if (this.#isClosed) return;
    if (!this.#isSilent) this.#schedule(0, () => this.#peer?.end(detail));
    this.end(detail);
  }

  listen(handlers: LinkHandlers): void {
    this.#handlers = handlers;
    if (this.#isOpen) handlers.onOpen();
    const unhandledMessages = this.#unhandledMessages;
    this.#unhandledMessages = [];
    unhandledMessages.forEach((message) => handlers.onMessage(message));
    if (this.#isClosed) handlers.onClose(this.#closeDetail);
  }

  /** Drops all further messages in both directions without a close. */
  silence(): void {
    this.#isSilent = true;
    if (this.#peer) this.#peer.#isSilent = true;
  }

  /** Closes this end only, as after a network error. */
  end(detail: string): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#isOpen = false;
    this.#closeDetail = detail;
    this.#handlers?.onClose(detail);
  }

  #applyFault(fault: LinkFault, message: Message): void {
    switch (fault.kind) {
      case LinkFaultKind.Deliver:
        this.#scheduleMessage(fault, message);
        break;
      case LinkFaultKind.Repeat:
        this.#scheduleMessage(fault, message);
        this.#scheduleMessage(fault, copyMessage(message));
        break;
      case LinkFaultKind.Drop:
        break;
      default:
        this.#breakPath(fault.kind);
    }
  }

  #breakPath(kind: LinkFaultKind): void {
    const detail = 'link cut';
    const peer = this.#peer;
    this.silence();
    if (kind === LinkFaultKind.Cut || kind === LinkFaultKind.CutSender) this.end(detail);
    if (kind === LinkFaultKind.Cut || kind === LinkFaultKind.CutReceiver) peer?.end(detail);
  }

  #scheduleMessage(fault: LinkFault, message: Message): void {
    this.#schedule(fault.extraDelayMs, () => this.#peer?.accept(message));
  }

  /** Receives a message; it is kept until handlers are attached. */
  accept(message: Message): void {
    if (this.#isClosed) return;
    if (this.#handlers) this.#handlers.onMessage(message);
    else this.#unhandledMessages.push(message);
  }

  #schedule(extraDelayMs: number, deliver: () => void): void {
    const last = this.#pendingDeliveries[this.#pendingDeliveries.length - 1];
    const dueAtMs = performance.now() + this.#options.delayMs + extraDelayMs;
    this.#pendingDeliveries.push({ dueAtMs: Math.max(dueAtMs, last?.dueAtMs ?? 0), deliver });
    if (!this.#isTimerSet) this.#scheduleNext();
  }

  #scheduleNext(): void {
    const next = this.#pendingDeliveries[0];
    this.#isTimerSet = next !== undefined;
    if (!next) return;
    setTimeout(() => this.#deliverDue(), Math.max(0, next.dueAtMs - performance.now()));
  }

  /** Delivers everything due: one timer per message would add a millisecond to each. */
  #deliverDue(): void {
    const nowMs = performance.now();
    while (this.#pendingDeliveries[0] && this.#pendingDeliveries[0].dueAtMs <= nowMs) {
      const delivery = this.#pendingDeliveries.shift();
      if (!this.#isSilent) delivery?.deliver();
    }
    this.#scheduleNext();
  }
}
