/**
 * The in-memory twin of a link between two processes.
 *
 * Messages arrive in order after the network's delay on the runtime's clock. Each passes through a
 * structured copy and the check of its type, so that the two ends never share an object.
 */
import { parseMessage, type Message } from '@radishbay/core/messages/message.js';
import { Link, type LinkHandlers } from '@radishbay/core/ports/link.js';

import { FateKind, type Fate } from './linkFaults.js';

/** Decides what becomes of a message that one end sends. */
export type FateDecider = (message: Message) => Fate;

/** How an end of a link is set up. */
export interface MemoryLinkOptions {
  readonly delayMs: number;
  readonly decide: FateDecider;
}

interface Parcel {
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
  if (!parsed.ok) throw new Error(`message sent does not pass its own check: ${parsed.val}`);
  return parsed.val;
}

/** One end of a link held in memory. */
export class MemoryLink extends Link {
  readonly #options: MemoryLinkOptions;

  readonly #parcels: Parcel[] = [];

  /** Messages leave at once: what is on its way is the network's, not the sender's. */
  readonly #bufferedBytes = 0;

  #other: MemoryLink | undefined;

  #handlers: LinkHandlers | undefined;

  #early: Message[] = [];

  #isOpen = false;

  #isClosed = false;

  #isSilent = false;

  #closeDetail = '';

  #isScheduled = false;

  constructor(options: MemoryLinkOptions) {
    super();
    this.#options = options;
  }

  /** Names the other end; both ends open with {@link open}. */
  join(other: MemoryLink): void {
    this.#other = other;
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

  /** Whether the path was lost without a close. */
  get isSilent(): boolean {
    return this.#isSilent;
  }

  /** Opens this end. */
  open(): void {
    if (this.#isClosed || this.#isOpen) return;
    this.#isOpen = true;
    this.#handlers?.onOpen();
  }

  send(message: Message): void {
    if (!this.#isOpen) return;
    const copy = copyMessage(message);
    const fate = this.#options.decide(copy);
    if (!this.#isSilent) this.#apply(fate, copy);
  }

  close(detail: string): void {
    if (this.#isClosed) return;
    if (!this.#isSilent) this.#post(0, () => this.#other?.end(detail));
    this.end(detail);
  }

  listen(handlers: LinkHandlers): void {
    this.#handlers = handlers;
    if (this.#isOpen) handlers.onOpen();
    const early = this.#early;
    this.#early = [];
    early.forEach((message) => handlers.onMessage(message));
    if (this.#isClosed) handlers.onClose(this.#closeDetail);
  }

  /** Loses the path in both directions without a close. */
  silence(): void {
    this.#isSilent = true;
    if (this.#other) this.#other.#isSilent = true;
  }

  /** Closes this end alone, as where the path reports an error. */
  end(detail: string): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#isOpen = false;
    this.#closeDetail = detail;
    this.#handlers?.onClose(detail);
  }

  #apply(fate: Fate, message: Message): void {
    switch (fate.kind) {
      case FateKind.Deliver:
        this.#postMessage(fate, message);
        break;
      case FateKind.Repeat:
        this.#postMessage(fate, message);
        this.#postMessage(fate, copyMessage(message));
        break;
      case FateKind.Drop:
        break;
      default:
        this.#break(fate.kind);
    }
  }

  #break(kind: FateKind): void {
    const detail = 'link cut';
    const other = this.#other;
    this.silence();
    if (kind === FateKind.Cut || kind === FateKind.CutSender) this.end(detail);
    if (kind === FateKind.Cut || kind === FateKind.CutReceiver) other?.end(detail);
  }

  #postMessage(fate: Fate, message: Message): void {
    this.#post(fate.extraDelayMs, () => this.#other?.accept(message));
  }

  /** Takes a message in; kept until someone listens. */
  accept(message: Message): void {
    if (this.#isClosed) return;
    if (this.#handlers) this.#handlers.onMessage(message);
    else this.#early.push(message);
  }

  #post(extraDelayMs: number, deliver: () => void): void {
    const last = this.#parcels[this.#parcels.length - 1];
    const dueAtMs = performance.now() + this.#options.delayMs + extraDelayMs;
    this.#parcels.push({ dueAtMs: Math.max(dueAtMs, last?.dueAtMs ?? 0), deliver });
    if (!this.#isScheduled) this.#scheduleNext();
  }

  #scheduleNext(): void {
    const next = this.#parcels[0];
    this.#isScheduled = next !== undefined;
    if (!next) return;
    setTimeout(() => this.#deliverDue(), Math.max(0, next.dueAtMs - performance.now()));
  }

  /** Delivers all that is due: a timer of its own for each would add a millisecond to each. */
  #deliverDue(): void {
    const nowMs = performance.now();
    while (this.#parcels[0] && this.#parcels[0].dueAtMs <= nowMs) {
      const parcel = this.#parcels.shift();
      if (!this.#isSilent) parcel?.deliver();
    }
    this.#scheduleNext();
  }
}
