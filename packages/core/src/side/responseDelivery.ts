/**
 * Delivers the response of one attempt over the session that it is attached to.
 *
 * Data is sent only up to the flow-control credit granted by the entry. Small chunks that arrive
 * in quick succession are coalesced into one message; the first chunk after a pause is sent at
 * once.
 */
import { MessageType } from '../messages/message.js';
import type { HeaderMap } from '../model/request.js';

import { ReplayBuffer } from './replayBuffer.js';
import type { LinkSession } from './linkSession.js';
import { readClockMs } from './sideClock.js';

/** Chunks that arrive within this time of the last data message wait until it has passed. */
const COALESCE_WINDOW_MS = 3;

/** Number of pending bytes that are sent without waiting longer. */
const COALESCE_LIMIT_BYTES = 4_096;

/** Largest number of response bytes in one message. */
const MAX_MESSAGE_BYTES = 65_536;

/**
 * Smallest assumed flow-control window: up to this many bytes before the end of the credit may not
 * have been consumed by the entry yet.
 */
const MIN_WINDOW_BYTES = 262_144;

interface ResponseHead {
  readonly status: number;
  readonly headers: HeaderMap;
}

/** One response and how much of it has been sent and consumed. */
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

  /** Session that the response is sent to; undefined while detached. */
  get session(): LinkSession | undefined {
    return this.#session;
  }

  get heldBytes(): number {
    return this.#buffer.heldBytes;
  }

  /** Bytes not yet sent, or, while no session is attached, not yet consumed by an entry. */
  get pendingBytes(): number {
    return this.#buffer.endOffset - (this.#session ? this.#sentOffset : this.#acknowledgedOffset);
  }

  /** Whether a complete response has been sent in full on the attached session. */
  get isEndSent(): boolean {
    return this.#isEndSent;
  }

  /**
   * Whether the response can be sent from this offset. Of a complete response whose bytes were
   * dropped, the head and the end can still be sent.
   */
  canSendFrom(offset: number): boolean {
    if (this.#isDiscarded) return this.#isComplete && offset === this.#buffer.endOffset;
    return offset >= this.#buffer.startOffset && offset <= this.#buffer.endOffset;
  }

  /** Sends from an offset to a session, which replaces the previous session. */
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

  /** Extends the credit to an offset; a lower offset has no effect. */
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

  /** Marks the response as complete. */
  complete(): void {
    this.#isComplete = true;
    this.flush();
  }

  /** Releases the bytes that the entry has consumed. */
  releaseAcknowledged(): void {
    this.#buffer.releaseBefore(Math.min(this.#acknowledgedOffset, this.#sentOffset));
  }

  /** Drops the bytes of the response: they can't be sent any more. */
  discard(): void {
    this.#isDiscarded = true;
    this.detach();
    this.#buffer.releaseBefore(this.#buffer.endOffset);
  }

  /** Sends everything that the credit allows. */
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
