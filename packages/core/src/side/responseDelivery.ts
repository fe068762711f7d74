/**
 * Delivers the answer of one attempt over whichever session follows it.
 *
 * Data is sent only up to the credit of the entry. Small pieces that follow each other closely
 * share a message; the first one after a pause leaves at once.
 */
import { MessageType } from '../messages/message.js';
import type { HeaderMap } from '../model/request.js';

import { ReplayBuffer } from './replayBuffer.js';
import type { LinkSession } from './linkSession.js';
import { readClockMs } from './sideClock.js';

/** Pieces that come within this time of the last message wait for its end. */
const COALESCE_WINDOW_MS = 3;

/** Waiting bytes that leave without waiting longer. */
const COALESCE_LIMIT_BYTES = 4_096;

/** Largest piece of answer in one message. */
const MAX_MESSAGE_BYTES = 65_536;

/** Bytes before the credit's end that an entry may not have taken yet, at least. */
const MIN_WINDOW_BYTES = 262_144;

interface ResponseHead {
  readonly status: number;
  readonly headers: HeaderMap;
}

/** One answer and how far it has been sent. */
export class ResponseDelivery {
  readonly #attemptId: string;

  readonly #buffer = new ReplayBuffer();

  #session: LinkSession | undefined;

  #head: ResponseHead | undefined;

  #isComplete = false;

  #isDiscarded = false;

  #isHeadSent = false;

  #isEndSent = false;

  #sentOffset = 0;

  #creditOffset = 0;

  #windowBytes = MIN_WINDOW_BYTES;

  #acknowledgedOffset = 0;

  #lastDataSentAtMs = Number.NEGATIVE_INFINITY;

  #flushTimer: NodeJS.Timeout | undefined;

  constructor(attemptId: string) {
    this.#attemptId = attemptId;
  }

  /** The session that the answer goes to. */
  get session(): LinkSession | undefined {
    return this.#session;
  }

  get heldBytes(): number {
    return this.#buffer.heldBytes;
  }

  /** Bytes that wait to be sent, or to be asked for where no session follows. */
  get pendingBytes(): number {
    return this.#buffer.endOffset - (this.#session ? this.#sentOffset : this.#acknowledgedOffset);
  }

  /** Whether all of a complete answer has been sent on the session that follows it. */
  get isEndSent(): boolean {
    return this.#isEndSent;
  }

  /** Whether the answer can be sent from a position on. */
  canSendFrom(offset: number): boolean {
    if (this.#isDiscarded) return false;
    return offset >= this.#buffer.startOffset && offset <= this.#buffer.endOffset;
  }

  /** Sends from a position on to a session, which replaces the one before. */
  attach(session: LinkSession, fromOffset: number, creditBytes: number): void {
    this.#session = session;
    this.#isHeadSent = false;
    this.#isEndSent = false;
    this.#sentOffset = fromOffset;
    this.#acknowledgedOffset = Math.max(this.#acknowledgedOffset, fromOffset);
    this.#creditOffset = fromOffset + creditBytes;
    this.#windowBytes = Math.max(this.#windowBytes, creditBytes);
    this.flush();
  }

  detach(): void {
    this.#session = undefined;
    this.#isEndSent = false;
    clearTimeout(this.#flushTimer);
    this.#flushTimer = undefined;
  }

  /** Takes credit in; it never falls. */
  grantCredit(upToOffset: number): void {
    this.#creditOffset = Math.max(this.#creditOffset, upToOffset);
    this.#acknowledgedOffset = Math.max(this.#acknowledgedOffset, upToOffset - this.#windowBytes);
    this.flush();
  }

  writeHead(status: number, headers: HeaderMap): void {
    this.#head = { status, headers };
    this.flush();
  }

  writeData(data: Uint8Array): void {
    if (this.#isDiscarded) this.#buffer.skip(data.length);
    else this.#buffer.append(data);
    this.#scheduleFlush();
  }

  /** Marks the answer as whole. */
  complete(): void {
    this.#isComplete = true;
    this.flush();
  }

  /** Lets go of what the caller has taken. */
  releaseAcknowledged(): void {
    this.#buffer.releaseBefore(Math.min(this.#acknowledgedOffset, this.#sentOffset));
  }

  /** Gives the answer up: it can't be sent any more. */
  discard(): void {
    this.#isDiscarded = true;
    this.detach();
    this.#buffer.releaseBefore(this.#buffer.endOffset);
  }

  /** Sends all that may be sent now. */
  flush(): void {
    clearTimeout(this.#flushTimer);
    this.#flushTimer = undefined;
    if (!this.#session || !this.#head) return;
    this.#sendHead(this.#session, this.#head);
    while (this.#sentOffset < this.#sendableOffset) this.#sendData(this.#session);
    if (this.#isComplete && this.#sentOffset === this.#buffer.endOffset) this.#sendEnd();
  }

  get #sendableOffset(): number {
    return Math.min(this.#buffer.endOffset, this.#creditOffset);
  }

  #scheduleFlush(): void {
    if (!this.#session) return;
    const waitMs = this.#lastDataSentAtMs + COALESCE_WINDOW_MS - readClockMs();
    if (waitMs <= 0 || this.pendingBytes >= COALESCE_LIMIT_BYTES) this.flush();
    else this.#flushTimer ??= setTimeout(() => this.flush(), waitMs);
  }

  #sendHead(session: LinkSession, head: ResponseHead): void {
    if (this.#isHeadSent) return;
    this.#isHeadSent = true;
    session.send({ type: MessageType.Head, attemptId: this.#attemptId, ...head });
  }

  #sendData(session: LinkSession): void {
    const offset = this.#sentOffset;
    const toOffset = Math.min(this.#sendableOffset, offset + MAX_MESSAGE_BYTES);
    const data = this.#buffer.read(offset, toOffset);
    this.#sentOffset = toOffset;
    this.#lastDataSentAtMs = readClockMs();
    session.send({ type: MessageType.Data, attemptId: this.#attemptId, offset, data });
  }

  #sendEnd(): void {
    if (this.#isEndSent) return;
    this.#isEndSent = true;
    const totalBytes = this.#buffer.endOffset;
    this.#session?.send({ type: MessageType.End, attemptId: this.#attemptId, totalBytes });
  }
}
